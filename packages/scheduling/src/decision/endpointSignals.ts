/**
 * What an endpoint has stated in its answers about the requests that it wants: that it leaves, that it wants none for a
 * while, or how many it takes from all routers together. The record belongs to one start of the endpoint.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** What an endpoint states in an answer about the requests that it wants. */
export interface StatedSignals {
    /** True if the endpoint is leaving. */
    readonly leaving: boolean;
    /** Time for which it wants no further request from this router. */
    readonly retryAfter?: Milliseconds;
    /** Requests per second that it takes from all routers together. */
    readonly limit?: number;
    /** Fields whose values cannot be used, for the log. */
    readonly unusable: readonly string[];
}

/** The values of the header fields with these statements, as they stand in an answer. */
export interface SignalFields {
    readonly leaving: readonly string[];
    /** Seconds. */
    readonly retryAfter: readonly string[];
    readonly limit: readonly string[];
}

/** Value of the field with which an endpoint states that it leaves. */
const leavingValue = "1";

const decimalPattern = /^\d{1,15}(\.\d{1,15})?$/;
const millisecondsPerSecond = 1_000;
const maxLoggedCharacters = 120;

/** Reads the statements of an answer. A field that stands several times, or whose value is no decimal, is unusable. */
export function readStatedSignals(fields: SignalFields): StatedSignals {
    const unusable: string[] = [];
    const readDecimal = (name: string, values: readonly string[]): number | undefined => {
        if (values.length === 1 && decimalPattern.test(values[0])) {
            return Number(values[0]);
        }
        if (values.length > 0) {
            unusable.push(`${name}: ${values.join(", ")}`.slice(0, maxLoggedCharacters));
        }
        return undefined;
    };
    const retryAfterSeconds = readDecimal("wait", fields.retryAfter);
    return {
        leaving: fields.leaving[0] === leavingValue,
        retryAfter: retryAfterSeconds === undefined ? undefined : retryAfterSeconds * millisecondsPerSecond,
        limit: readDecimal("limit", fields.limit),
        unusable,
    };
}

/**
 * Longest time for which an endpoint can refuse requests in advance. The platform sets no bound; this one limits what a wrong
 * value costs.
 */
export const maxRefusalTime: Milliseconds = 600_000;

/** Lowest limit that is applied: with some requests, the end of the limit is noticed. */
export const minRequestLimit = 0.1;

/** Highest limit that is applied. */
export const maxRequestLimit = 1_000_000;

export enum EndpointSignal {
    Leaving = "leaving",
    /** It wants no request from this router until a time. */
    Wait = "wait",
    Limit = "limit",
    /** It states a limit no more. */
    NoLimit = "noLimit",
    /** A field whose value cannot be used. */
    Unusable = "unusable",
}

/** A change of the record, for the log. */
export interface SignalChange {
    readonly signal: EndpointSignal;
    /** Milliseconds of a wait, requests per second of a limit, or the text of an unusable field. */
    readonly value?: number | string;
}

/** A limit that an endpoint has stated. */
export interface RequestLimit {
    /** Requests per second of all routers together. */
    readonly perSecond: number;
    /** When it was last stated, on this process's clock. */
    readonly statedAt: Milliseconds;
}

/** Maximum number of unusable fields that are remembered, so that each is logged once. */
const maxRememberedFields = 20;

/** The record of one endpoint. */
export class EndpointSignals {
    private leaving = false;
    private refusedUntil: Milliseconds = -Infinity;
    private requestLimit: RequestLimit | undefined;
    private withheldUntil: Milliseconds = -Infinity;
    private isAskingForPermit = false;
    private readonly loggedFields = new Set<string>();

    get isLeaving(): boolean {
        return this.leaving;
    }

    get limit(): RequestLimit | undefined {
        return this.requestLimit;
    }

    /**
     * When the endpoint may be selected again: after the wait that it stated, and once a permit may be asked for.
     * `undefined` if it may be selected now.
     */
    nextRequestAt(now: Milliseconds): Milliseconds | undefined {
        const isWithheld = this.requestLimit !== undefined
            && (this.isAskingForPermit || this.withheldUntil > now);
        if (!isWithheld && this.refusedUntil <= now) {
            return undefined;
        }
        return Math.max(now, this.refusedUntil, isWithheld ? this.withheldUntil : -Infinity);
    }

    /** Selects the endpoint for no request until a time, since no permit is available for this router. */
    withholdUntil(time: Milliseconds): void {
        this.withheldUntil = time;
    }

    /** Sets whether a permit is being asked for: further requests go elsewhere meanwhile. */
    withholdWhileAsking(isAsking: boolean): void {
        this.isAskingForPermit = isAsking;
    }

    /** Ends a limit that the endpoint last stated before `time`. */
    endLimit(time: Milliseconds): void {
        if (this.requestLimit !== undefined && this.requestLimit.statedAt < time) {
            this.requestLimit = undefined;
        }
    }

    /**
     * Applies what an answer states; returns what has changed. `sentAt` is when its request was sent, `isRefusal` is true if the
     * endpoint refused it.
     */
    observe(
        stated: StatedSignals,
        answer: { readonly sentAt: Milliseconds; readonly isRefusal: boolean; },
        now: Milliseconds,
    ): SignalChange[] {
        const changes: SignalChange[] = [...this.newUnusableFields(stated)];
        if (stated.leaving && !this.leaving) {
            this.leaving = true;
            changes.push({ signal: EndpointSignal.Leaving });
        }
        if (answer.isRefusal && stated.retryAfter !== undefined) {
            const wait = Math.min(stated.retryAfter, maxRefusalTime);
            this.refusedUntil = Math.max(this.refusedUntil, now + wait);
            changes.push({ signal: EndpointSignal.Wait, value: wait });
        }
        return [...changes, ...this.observeLimit(stated, answer.sentAt, now)];
    }

    private observeLimit(stated: StatedSignals, sentAt: Milliseconds, now: Milliseconds): SignalChange[] {
        const before = this.requestLimit;
        if (stated.limit !== undefined) {
            const perSecond = Math.min(maxRequestLimit, Math.max(minRequestLimit, stated.limit));
            this.requestLimit = { perSecond, statedAt: now };
            return before?.perSecond === perSecond
                ? []
                : [{ signal: EndpointSignal.Limit, value: perSecond }];
        }
        // An answer to an earlier request may have been made before the limit was stated. An unusable field is no statement.
        if (before === undefined || sentAt <= before.statedAt || stated.unusable.length > 0) {
            return [];
        }
        this.requestLimit = undefined;
        return [{ signal: EndpointSignal.NoLimit }];
    }

    private newUnusableFields(stated: StatedSignals): SignalChange[] {
        const fields = stated.unusable.filter((field) =>
            !this.loggedFields.has(field) && this.loggedFields.size < maxRememberedFields
        );
        fields.forEach((field) => this.loggedFields.add(field));
        return fields.map((value) => ({ signal: EndpointSignal.Unusable, value }));
    }
}

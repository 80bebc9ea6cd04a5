/**
 * How one request gets its tokens: from the slots of its own router, and if these run short from other holders.
 *
 * Tokens granted by others are spent only until their deadline, which counts from before they were requested. The
 * router's own tokens are debited last, in the same step as the admission. If the total does not suffice, the grants
 * are returned.
 *
 * @module
 */
import type { Decision, Milliseconds } from "@redwingpin/common";
import {
    maximumRequestsPerRound,
    minimumRetryDelayMilliseconds,
    toleratedFullnessDifference,
} from "../constants.js";
import type { Candidate } from "./holderSelector.js";

/** Tokens that another holder has debited for a request. */
export interface HeldGrant {
    readonly holder: string;
    readonly id: string;
    readonly tokens: number;
    /** Time after which the tokens may not be spent. */
    readonly usableUntil: Milliseconds;
    /** Limits of the account on which the holder based its decision. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** Tokens that a request needs. */
export interface TokenRequest {
    readonly tokens: number;
    /** Time at which the request stops waiting. */
    readonly deadline: Milliseconds;
    /** Rate of the account over the whole fleet, from which a delay is estimated. */
    readonly tokensPerSecond: number;
}

/** Effects of the decision. */
export type AcquireEffect =
    /** Read the level of this router's slots and the holders from which tokens can be requested. */
    | { readonly kind: "inspect"; }
    /** Request tokens from another holder. */
    | { readonly kind: "ask"; readonly holder: string; readonly tokens: number; }
    /** Admit the request, spending the grants and the rest from this router's slots; or spend nothing. */
    | { readonly kind: "commit"; readonly grants: readonly HeldGrant[]; }
    | { readonly kind: "returnGrants"; readonly grants: readonly HeldGrant[]; }
    /** Wait before the next round. */
    | { readonly kind: "pause"; readonly duration: Milliseconds; };

/** Events with which the decision is resumed. */
export type AcquireEvent =
    | {
        readonly kind: "view";
        readonly now: Milliseconds;
        readonly ownTokens: number;
        /** Tokens that this router's slots can hold. */
        readonly ownBurst: number;
        /** Holders that may have tokens, in order of preference. */
        readonly holders: readonly Candidate[];
    }
    | { readonly kind: "answer"; readonly grant: HeldGrant | undefined; }
    | { readonly kind: "committed"; readonly admitted: boolean; readonly missing: number; }
    | { readonly kind: "done"; };

/** Outcome of the decision. */
export type AcquireOutcome =
    | { readonly admitted: true; readonly grants: readonly HeldGrant[]; }
    | { readonly admitted: false; readonly retryAfter: Milliseconds; };

/** A decision about one request's tokens. */
export type Acquire<Outcome> = Decision<AcquireEffect, AcquireEvent, Outcome>;

/** One round: requests missing tokens from other holders, and admits the request or returns all grants. */
export function* acquireOnce(request: TokenRequest): Acquire<AcquireOutcome> {
    const view = expectKind(yield { kind: "inspect" }, "view");
    const wanted = othersAreFuller(request, view) ? request.tokens : request.tokens - view.ownTokens;
    const grants = yield* requestGrants(wanted, view.holders);
    const outcome = expectKind(yield { kind: "commit", grants }, "committed");
    if (outcome.admitted) {
        return { admitted: true, grants };
    }
    if (grants.length > 0) {
        expectKind(yield { kind: "returnGrants", grants }, "done");
    }
    return { admitted: false, retryAfter: timeToFill(outcome.missing, request) };
}

/** Repeats the round after a delay until the request is admitted or its deadline would pass. */
export function* acquireWaiting(request: TokenRequest): Acquire<AcquireOutcome> {
    while (true) {
        const outcome = yield* acquireOnce(request);
        const view = expectKind(yield { kind: "inspect" }, "view");
        if (outcome.admitted || view.now + outcome.retryAfter > request.deadline) {
            return outcome;
        }
        expectKind(yield { kind: "pause", duration: outcome.retryAfter }, "done");
    }
}

/**
 * True if serving the request from this router's slots would leave them so much emptier than others that the others
 * would lose refill.
 */
function othersAreFuller(request: TokenRequest, view: Extract<AcquireEvent, { kind: "view"; }>): boolean {
    if (view.holders.length === 0 || view.ownBurst === 0) {
        return false;
    }
    const ownFullness = (view.ownTokens - request.tokens) / view.ownBurst;
    return view.holders[0].fullness - ownFullness > toleratedFullnessDifference;
}

function* requestGrants(missing: number, holders: readonly Candidate[]): Acquire<HeldGrant[]> {
    const grants: HeldGrant[] = [];
    let left = missing;
    for (const { holder } of holders.slice(0, maximumRequestsPerRound)) {
        if (left <= 0) {
            break;
        }
        const { grant } = expectKind(yield { kind: "ask", holder, tokens: left }, "answer");
        if (grant !== undefined && grant.tokens > 0) {
            grants.push(grant);
            left -= grant.tokens;
        }
    }
    return grants;
}

function timeToFill(missing: number, request: TokenRequest): Milliseconds {
    if (request.tokensPerSecond <= 0) {
        return Infinity;
    }
    const duration = Math.ceil(missing * 1000 / request.tokensPerSecond);
    return Math.max(minimumRetryDelayMilliseconds, duration);
}

function expectKind<Kind extends AcquireEvent["kind"]>(
    event: AcquireEvent,
    kind: Kind,
): Extract<AcquireEvent, { kind: Kind; }> {
    if (event.kind !== kind) {
        throw new Error(`expected event "${kind}", not "${event.kind}"`);
    }
    return event as Extract<AcquireEvent, { kind: Kind; }>;
}

/** True if a grant may be spent at `now` under the limits in force at the requesting router. */
export function isUsable(
    grant: HeldGrant,
    limits: { readonly tokensPerSecond: number; readonly burstTokens: number; },
    now: Milliseconds,
): boolean {
    return now <= grant.usableUntil && grant.tokensPerSecond <= limits.tokensPerSecond
        && grant.burstTokens <= limits.burstTokens;
}

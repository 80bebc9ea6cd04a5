/**
 * How one request gets its tokens: from the slots of its own router, and where these run short from other holders.
 *
 * Tokens of others are used only while their deadline has not passed, counted from before they were asked for;
 * own tokens are debited last, in the same step as the admission. What does not suffice goes back.
 *
 * @module
 */
import type { Decision, Milliseconds } from "@redwingpin/common";
import { maximumAsksPerRound, minimumPauseMilliseconds, toleratedImbalance } from "../constants.js";
import type { Candidate } from "./holderChoice.js";

/** Tokens that another holder has debited for a request. */
export interface HeldGrant {
    readonly holder: string;
    readonly id: string;
    readonly tokens: number;
    /** Time after which the tokens may not be spent. */
    readonly usableUntil: Milliseconds;
    /** Limits of the account by which the holder decided. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** What the request needs. */
export interface TokenRequest {
    readonly tokens: number;
    /** Time after which the request waits no longer. */
    readonly deadline: Milliseconds;
    /** Tokens a second of the account over the whole fleet, by which a pause is estimated. */
    readonly tokensPerSecond: number;
}

/** What the decision asks for. */
export type AcquireEffect =
    /** What do the own slots hold, and which others can be asked? */
    | { readonly kind: "look"; }
    | { readonly kind: "ask"; readonly holder: string; readonly tokens: number; }
    /** Admit, spending the grants and the rest from the own slots, or nothing. */
    | { readonly kind: "commit"; readonly grants: readonly HeldGrant[]; }
    | { readonly kind: "giveBack"; readonly grants: readonly HeldGrant[]; }
    | { readonly kind: "pause"; readonly duration: Milliseconds; };

/** What the decision is resumed with. */
export type AcquireEvent =
    | {
        readonly kind: "view";
        readonly now: Milliseconds;
        readonly ownTokens: number;
        /** Tokens that the own slots can hold. */
        readonly ownBurst: number;
        /** Holders that may have tokens, in the order in which they should be asked. */
        readonly holders: readonly Candidate[];
    }
    | { readonly kind: "answer"; readonly grant: HeldGrant | undefined; }
    | { readonly kind: "committed"; readonly admitted: boolean; readonly missing: number; }
    | { readonly kind: "done"; };

/** How the decision ends. */
export type AcquireOutcome =
    | { readonly admitted: true; readonly grants: readonly HeldGrant[]; }
    | { readonly admitted: false; readonly retryAfter: Milliseconds; };

/** A decision about one request's tokens. */
export type Acquire<Outcome> = Decision<AcquireEffect, AcquireEvent, Outcome>;

/** One round: looks, asks others for what is missing, and admits or gives everything back. */
export function* acquireOnce(request: TokenRequest): Acquire<AcquireOutcome> {
    const view = expectKind(yield { kind: "look" }, "view");
    const wanted = othersAreFuller(request, view) ? request.tokens : request.tokens - view.ownTokens;
    const grants = yield* gather(wanted, view.holders);
    const outcome = expectKind(yield { kind: "commit", grants }, "committed");
    if (outcome.admitted) {
        return { admitted: true, grants };
    }
    if (grants.length > 0) {
        expectKind(yield { kind: "giveBack", grants }, "done");
    }
    return { admitted: false, retryAfter: timeToFill(outcome.missing, request) };
}

/** Rounds with pauses between them until the request is admitted or its deadline would pass. */
export function* acquireWaiting(request: TokenRequest): Acquire<AcquireOutcome> {
    while (true) {
        const outcome = yield* acquireOnce(request);
        const view = expectKind(yield { kind: "look" }, "view");
        if (outcome.admitted || view.now + outcome.retryAfter > request.deadline) {
            return outcome;
        }
        expectKind(yield { kind: "pause", duration: outcome.retryAfter }, "done");
    }
}

/** True where the own slots would be left so much emptier than others that the others lose refill. */
function othersAreFuller(request: TokenRequest, view: Extract<AcquireEvent, { kind: "view"; }>): boolean {
    if (view.holders.length === 0 || view.ownBurst === 0) {
        return false;
    }
    const ownFullness = (view.ownTokens - request.tokens) / view.ownBurst;
    return view.holders[0].fullness - ownFullness > toleratedImbalance;
}

function* gather(missing: number, holders: readonly Candidate[]): Acquire<HeldGrant[]> {
    const grants: HeldGrant[] = [];
    let left = missing;
    for (const { holder } of holders.slice(0, maximumAsksPerRound)) {
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
    return Math.max(minimumPauseMilliseconds, duration);
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

/** True where a grant may be spent at `now` under the limits in force at the asker. */
export function isUsable(
    grant: HeldGrant,
    limits: { readonly tokensPerSecond: number; readonly burstTokens: number; },
    now: Milliseconds,
): boolean {
    return now <= grant.usableUntil && grant.tokensPerSecond <= limits.tokensPerSecond
        && grant.burstTokens <= limits.burstTokens;
}

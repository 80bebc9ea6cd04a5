/**
 * Finds an endpoint for an attempt of a request. If no endpoint has room, the request waits for a while.
 *
 * @module
 */
import { type Clock, type Logger, type Milliseconds, RefusalReason } from "@redwingpin/common";
import { AfterHold, afterHold, type HoldEnd, maxHold, retryAfterHold } from "@redwingpin/scheduling";
import type { ServerResponse } from "node:http";
import { weightOf } from "../decision/accountWeights.js";
import type { Choice } from "../decision/endpointChoice.js";
import type { DirectRequest } from "./callerRequest.js";
import type { EndpointSelection } from "./endpointSelection.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { HeldRequests } from "./heldRequests.js";
import { hasLeft } from "./requestTurns.js";

/** Work of a request to a service without token counts, in tokens. */
const plainWork = 100;

/** Share of a predicted time that passes at least. */
const certainShare = 0.5;

/** Dependencies of {@link RoomSearch}. */
export interface RoomSearchContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly held: HeldRequests;
    readonly metrics: GatewayMetrics;
    readonly random: () => number;
}

/** Result of a search. */
export type FoundRoom =
    | { readonly kind: "chosen"; readonly choice: Choice; }
    /** No endpoint can take the request. */
    | { readonly kind: "none"; }
    /** The request has not run and will not run. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfter: Milliseconds; }
    | { readonly kind: "callerGone"; };

/** Searches for one request. */
export class RoomSearch {
    private heldFor: Milliseconds = 0;
    private reservation: { readonly cancel: () => void; readonly end: () => void; } | undefined;

    constructor(
        private readonly context: RoomSearchContext,
        private readonly request: DirectRequest,
        private readonly response: ServerResponse,
        private readonly selection: EndpointSelection,
    ) {}

    /**
     * Finds an endpoint and reserves room for the request until the attempt begins or the reservation is cancelled. A request
     * that may have run already does not wait: refusing it would waste the work.
     */
    async find(hasRun = false): Promise<FoundRoom> {
        const { clock, held } = this.context;
        const now = clock.now();
        const best = this.selection.best(now);
        if (best === undefined) {
            return { kind: "none" };
        }
        if (!held.settings.enabled) {
            return { kind: "chosen", choice: best };
        }
        if (hasRun) {
            return this.reserve(best, now);
        }
        const service = this.request.service.name;
        if (!held.isWaiting(service)) {
            const choice = this.selection.withRoom(best, now);
            if (choice !== undefined) {
                return this.reserve(choice, now);
            }
        }
        const minDuration = certainShare * (best.latency - best.startsIn);
        if (now + certainShare * best.startsIn + minDuration > this.request.deadline) {
            return this.refuse({ kind: "unreachable" }, best.startsIn);
        }
        return this.hold(best, minDuration);
    }

    /** Ends the reservation, since the attempt begins. */
    beginAttempt(): void {
        this.reservation?.end();
        this.reservation = undefined;
    }

    /** Cancels the reservation, since no attempt is made. */
    cancel(): void {
        this.reservation?.cancel();
        this.reservation = undefined;
    }

    private async hold(best: Choice, minDuration: Milliseconds): Promise<FoundRoom> {
        const { clock, held } = this.context;
        const { account, arrival, body, deadline, route, service, table } = this.request;
        const start = clock.now();
        let choice: Choice | undefined;
        const end = await held.hold(service.name, {
            account: account?.name ?? "",
            weight: weightOf(table.weights, account?.name),
            urgency: account?.priority ?? route.priority,
            bytes: body.length,
            deadline,
            waitUntil: start + Math.max(0, maxHold(route.targetLatency) - this.heldFor),
            minDuration,
            hasCallerLeft: () => hasLeft(this.response.req, this.response),
            tryStart: (now) => {
                choice = this.selection.findRoom(now);
                if (choice !== undefined) {
                    this.reserve(choice, now);
                }
                return choice !== undefined;
            },
        });
        const now = clock.now();
        this.heldFor += now - start;
        // Callers without a key are not one account, so they have no share.
        const isAboveShare = account !== undefined && held.work.isAboveShare(account.name, now);
        this.recordHold(end, now - start, now - arrival, isAboveShare);
        switch (afterHold({ end, isAboveShare, settings: held.settings })) {
            case AfterHold.Drop:
                return { kind: "callerGone" };
            case AfterHold.Refuse:
                return this.refuse(end, best.startsIn);
            case AfterHold.Send: {
                if (choice !== undefined) {
                    return { kind: "chosen", choice };
                }
                const bestNow = this.selection.best(now);
                return bestNow === undefined ? { kind: "none" } : this.reserve(bestNow, now);
            }
        }
    }

    private reserve(choice: Choice, now: Milliseconds): FoundRoom {
        this.cancel();
        const { held } = this.context;
        const { account, metadata, table } = this.request;
        const name = account?.name ?? "";
        const weight = weightOf(table.weights, account?.name);
        const tokens = choice.tokensToProcess + metadata.outputTokens || plainWork;
        const release = reserveRoom(choice, now);
        held.work.record(name, tokens, now, weight);
        this.reservation = {
            end: release,
            cancel: () => {
                release();
                held.work.record(name, -tokens, now, weight);
            },
        };
        return { kind: "chosen", choice };
    }

    private refuse(end: HoldEnd, startsIn: Milliseconds): FoundRoom {
        const { held, random } = this.context;
        const expectedWait = Math.max(startsIn, held.expectedWait(this.request.service.name));
        return {
            kind: "refused",
            reason: refusalReason(end),
            retryAfter: retryAfterHold(expectedWait, random()),
        };
    }

    private recordHold(
        end: HoldEnd,
        waited: Milliseconds,
        elapsed: Milliseconds,
        isAboveShare: boolean,
    ): void {
        const { logger, metrics } = this.context;
        const { account, metadata, service } = this.request;
        metrics.holds.record(end.kind, waited);
        logger.info("request was held", {
            request: metadata.attempt,
            service: service.name,
            account: account?.name,
            end: end.kind,
            aboveShare: isAboveShare,
            waited: Math.round(waited),
            elapsed: Math.round(elapsed),
        });
    }
}

/** Adds a request to its endpoint's load until the returned function is called. */
function reserveRoom(
    { endpointState, memoryTokens, tokensToProcess }: Choice,
    now: Milliseconds,
): () => void {
    const endMemory = endpointState.openMemory(memoryTokens, now);
    endpointState.running += 1;
    endpointState.waitingTokens += tokensToProcess;
    return () => {
        endMemory(now, false);
        endpointState.running -= 1;
        endpointState.waitingTokens -= tokensToProcess;
    };
}

function refusalReason(end: HoldEnd): RefusalReason {
    switch (end.kind) {
        case "stopped":
            return RefusalReason.Stopping;
        case "expired":
        case "unreachable":
            return RefusalReason.DeadlineExceeded;
        case "waited":
        case "displaced":
        case "start":
        case "callerGone":
            return RefusalReason.QueueFull;
    }
}

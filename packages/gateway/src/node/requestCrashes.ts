/**
 * Connects one request to the crash tracker: whether it may be sent to endpoints, and which endpoints crashed under it.
 *
 * @module
 */
import type { CancelTimer, Clock, Milliseconds } from "@redwingpin/common";
import { type CrashTracker, type DirectEndpoint, survivalTime } from "@redwingpin/fleet";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import { sharedParts } from "../decision/sharedParts.js";
import type { DirectRequest } from "./callerRequest.js";
import type { CrashProbe } from "./crashProbe.js";

/** Dependencies of {@link RequestCrashes}. */
export interface RequestCrashesContext {
    readonly clock: Clock;
    readonly crashTracker: CrashTracker;
    readonly crashProbe: Pick<CrashProbe, "hasCrashed">;
}

/** Crashes under one request. */
export class RequestCrashes {
    private readonly parts: readonly string[];
    /** True once the answer of the current attempt has lasted for {@link survivalTime}. */
    private hasSurvived = false;
    private cancelSurvival: CancelTimer = () => {};

    constructor(
        private readonly context: RequestCrashesContext,
        private readonly request: DirectRequest,
    ) {
        this.parts = sharedParts(request.metadata.parts);
    }

    /** Time until which the request is refused; `undefined` if it may be sent to endpoints. */
    refusedUntil(now: Milliseconds): Milliseconds | undefined {
        return this.context.crashTracker.refusedUntil(this.request.fingerprint, this.parts, now);
    }

    /** Records that an endpoint has begun to answer. */
    recordBegin(): void {
        const { clock, crashTracker } = this.context;
        this.cancelSurvival = clock.schedule(survivalTime, () => {
            this.hasSurvived = true;
            crashTracker.recordSurvival(this.parts, clock.now());
        });
    }

    /** Records the end of an attempt. Resolves with true if the endpoint crashed before the answer was complete. */
    async recordEnd(
        endpoint: DirectEndpoint,
        outcome: AttemptOutcome,
        sentAt: Milliseconds,
    ): Promise<boolean> {
        const { clock, crashProbe, crashTracker } = this.context;
        const endedAt = clock.now();
        const { hasSurvived, parts } = this;
        const { fingerprint } = this.request;
        this.cancelSurvival();
        this.hasSurvived = false;
        if (outcome.kind === "delivered") {
            crashTracker.recordCompletion(fingerprint, parts, endedAt);
            return false;
        }
        const isSuspect = outcome.kind === "broken" && outcome.isClosed;
        if (!isSuspect || !await crashProbe.hasCrashed(endpoint)) {
            return false;
        }
        const { instance } = endpoint;
        crashTracker.recordCrash({ fingerprint, parts, endpoint: instance, sentAt, hasSurvived }, endedAt);
        return true;
    }
}

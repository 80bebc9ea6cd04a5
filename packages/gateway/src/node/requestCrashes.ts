/**
 * Connects one request to the crash tracker: whether it may be sent to endpoints, and which endpoints crashed under it.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { CrashTracker, DirectEndpoint } from "@redwingpin/fleet";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import { sharedParts } from "../decision/sharedParts.js";
import type { DirectRequest } from "./callerRequest.js";
import type { CrashProbe } from "./crashProbe.js";

/** Dependencies of {@link RequestCrashes}. */
export interface RequestCrashesContext {
    readonly clock: Clock;
    readonly crashTracker: CrashTracker;
    readonly crashProbe: CrashProbe;
}

/** Crashes under one request. */
export class RequestCrashes {
    private readonly parts: readonly string[];
    /** True once the endpoint of the current attempt has begun to answer. */
    private isAnswered = false;

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
    recordAnswer(): void {
        const { clock, crashTracker } = this.context;
        this.isAnswered = true;
        crashTracker.recordAnswer(this.request.fingerprint, this.parts, clock.now());
    }

    /** Records the end of an attempt. Resolves with true if the endpoint crashed before it began to answer. */
    async recordEnd(
        endpoint: DirectEndpoint,
        outcome: AttemptOutcome,
        sentAt: Milliseconds,
    ): Promise<boolean> {
        const { clock, crashProbe, crashTracker } = this.context;
        const endedAt = clock.now();
        const isSuspect = !this.isAnswered && outcome.kind === "broken" && outcome.isClosed;
        this.isAnswered = false;
        if (!isSuspect || !await crashProbe.hasCrashed(endpoint)) {
            return false;
        }
        const { fingerprint } = this.request;
        const { parts } = this;
        crashTracker.recordCrash({ fingerprint, parts, endpoint: endpoint.instance, sentAt }, endedAt);
        return true;
    }
}

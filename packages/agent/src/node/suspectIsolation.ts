/**
 * Runs suspect requests in isolation at the endpoint, and reports the requests that were running when it crashed.
 *
 * @module
 */
import {
    type CrashReport,
    type GateEntry,
    type GateStep,
    IsolationGate,
    maximumSuspects,
    quarantineDuration,
    QuarantineMessageKind,
} from "@redwingpin/claims";
import type { Clock } from "@redwingpin/common";

/** A request that is to run at the endpoint. */
export interface GatedRequest extends GateEntry {
    /** Called once, when the request is to run. */
    readonly start: () => void;
    /** Called instead of `start` if the request is quarantined. */
    readonly decline: () => void;
}

/** Options of {@link SuspectIsolation}. */
export interface SuspectIsolationOptions {
    readonly clock: Clock;
    /** Name of this instance. */
    readonly instance: string;
    /** Incarnation of the endpoint at the last health check. */
    readonly incarnation: () => string | undefined;
    /** Checks the endpoint's health immediately. */
    readonly checkHealth: () => Promise<void>;
    /** Sends a report to every connected router. */
    readonly report: (report: CrashReport) => void;
}

/** Starts requests at the endpoint, suspects in isolation. */
export class SuspectIsolation {
    private readonly gate = new IsolationGate({ duration: quarantineDuration, maximumSuspects });
    private readonly requests = new Map<string, GatedRequest>();
    private lastCrashedIncarnation: string | undefined;

    constructor(private readonly options: SuspectIsolationOptions) {}

    /** Current incarnation of the endpoint, at which a request that is started now runs. */
    get incarnation(): string | undefined {
        return this.options.incarnation();
    }

    enter(request: GatedRequest): void {
        const { id, fingerprint, isIsolated } = request;
        this.requests.set(id, request);
        this.applyStep(this.gate.enter({ id, fingerprint, isIsolated }, this.now()));
    }

    /** Records that a request has ended; `isComplete` if its answer was complete. */
    leave(id: string, isComplete: boolean): void {
        const request = this.requests.get(id);
        this.requests.delete(id);
        if (isComplete && request !== undefined) {
            this.gate.clear(request.fingerprint);
        }
        this.applyStep(this.gate.leave(id, this.now()));
    }

    /** Checks after an interrupted request whether its incarnation has crashed; reports a crash before this resolves. */
    async reportIfCrashed(incarnation: string | undefined): Promise<void> {
        await this.options.checkHealth();
        const hasCrashed = incarnation !== undefined && this.options.incarnation() !== incarnation;
        if (!hasCrashed || this.lastCrashedIncarnation === incarnation) {
            return;
        }
        this.lastCrashedIncarnation = incarnation;
        const fingerprints = this.gate.recordCrash(this.now());
        const crash = { id: `${this.options.instance}/${incarnation}`, at: this.now() };
        this.options.report({ kind: QuarantineMessageKind.Crash, crash, fingerprints });
    }

    private applyStep(step: GateStep): void {
        for (const { id } of step.quarantined) {
            const request = this.requests.get(id);
            this.requests.delete(id);
            request?.decline();
        }
        step.started.forEach(({ id }) => this.requests.get(id)?.start());
    }

    private now(): number {
        return this.options.clock.wallTime();
    }
}

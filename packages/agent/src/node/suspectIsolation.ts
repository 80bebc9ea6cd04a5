/**
 * The gate before the endpoint: runs suspects apart, and reports the requests that ran when the endpoint crashed.
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

/** A request that asks to pass. */
export interface GatedRequest extends GateEntry {
    /** Called once, when the request may run. */
    readonly start: () => void;
    /** Called in place of `start` where the request is quarantined. */
    readonly refuse: () => void;
}

/** Options of {@link SuspectIsolation}. */
export interface SuspectIsolationOptions {
    readonly clock: Clock;
    /** Name of this instance. */
    readonly instance: string;
    /** Start of the endpoint that runs, as last seen. */
    readonly incarnation: () => string | undefined;
    /** Looks at the endpoint's health at once. */
    readonly look: () => Promise<void>;
    /** Sends a report to every connected router. */
    readonly report: (report: CrashReport) => void;
}

/** Lets requests through to the endpoint. */
export class SuspectIsolation {
    private readonly gate = new IsolationGate({ duration: quarantineDuration, maximumSuspects });
    private readonly requests = new Map<string, GatedRequest>();
    private lastCrash: string | undefined;

    constructor(private readonly options: SuspectIsolationOptions) {}

    /** Start of the endpoint that a request which starts now runs on. */
    get incarnation(): string | undefined {
        return this.options.incarnation();
    }

    enter(request: GatedRequest): void {
        const { id, fingerprint, apart } = request;
        this.requests.set(id, request);
        this.carryOut(this.gate.enter({ id, fingerprint, apart }, this.now()));
    }

    /** Says that a request has ended; `complete` where it ran to its end. */
    leave(id: string, complete: boolean): void {
        const request = this.requests.get(id);
        this.requests.delete(id);
        if (complete && request !== undefined) {
            this.gate.clear(request.fingerprint);
        }
        this.carryOut(this.gate.leave(id, this.now()));
    }

    /** Says that a request broke off; where the endpoint has crashed, reports it before this resolves. */
    async brokeOff(incarnation: string | undefined): Promise<void> {
        await this.options.look();
        const crashed = incarnation !== undefined && this.options.incarnation() !== incarnation;
        if (!crashed || this.lastCrash === incarnation) {
            return;
        }
        this.lastCrash = incarnation;
        const fingerprints = this.gate.crashed(this.now());
        const crash = { id: `${this.options.instance}/${incarnation}`, at: this.now() };
        this.options.report({ kind: QuarantineMessageKind.Crash, crash, fingerprints });
    }

    private carryOut(step: GateStep): void {
        for (const { id } of step.quarantined) {
            const request = this.requests.get(id);
            this.requests.delete(id);
            request?.refuse();
        }
        step.started.forEach(({ id }) => this.requests.get(id)?.start());
    }

    private now(): number {
        return this.options.clock.wallTime();
    }
}

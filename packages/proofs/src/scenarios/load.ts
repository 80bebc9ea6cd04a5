/**
 * Load of a scenario: callers that each send their next call when the previous one has ended.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller, type CallPlan } from "./caller.js";
import { CallEnd, type CallRecord } from "./callRecord.js";

/** Describes the callers of one load and their calls. */
export interface LoadPlan {
    readonly callers: number;
    /** Creates the next call of a caller. */
    readonly next: (caller: number, call: number) => CallPlan;
    /** Delay between two calls of a caller. */
    readonly delayMilliseconds: number;
    readonly onEnd: (record: CallRecord) => void;
}

const unreachableDelayMilliseconds = 50;

/** A running load. */
export class Load {
    private readonly finished: Promise<unknown>;
    private isStopping = false;

    constructor(plan: LoadPlan) {
        const callerNumbers = Array.from({ length: plan.callers }, (_, index) => index);
        this.finished = Promise.all(callerNumbers.map((callerNumber) => this.run(plan, callerNumber)));
    }

    /** Starts no further calls and waits until the current ones have ended. */
    async stop(): Promise<void> {
        this.isStopping = true;
        await this.finished;
    }

    private async run(plan: LoadPlan, callerNumber: number): Promise<void> {
        const caller = new Caller();
        for (let call = 0; !this.isStopping; call++) {
            const record = await caller.send(plan.next(callerNumber, call)).ended;
            plan.onEnd(record);
            const isUnreachable = record.end === CallEnd.Unreachable;
            await sleep(isUnreachable ? unreachableDelayMilliseconds : plan.delayMilliseconds);
        }
        await caller.close();
    }
}

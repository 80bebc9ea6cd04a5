/**
 * Callers that keep sending, each its next call when the one before has ended.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller, type CallPlan } from "./caller.js";
import { CallEnd, type CallRecord } from "./callRecord.js";

/** What the callers of one load do. */
export interface LoadPlan {
    readonly callers: number;
    /** Makes the next call of a caller. */
    readonly next: (caller: number, call: number) => CallPlan;
    /** Pause between two calls of a caller, in milliseconds. */
    readonly pauseMilliseconds: number;
    readonly onEnd: (record: CallRecord) => void;
}

const unreachablePauseMilliseconds = 50;

/** A running load. */
export class Load {
    private readonly finished: Promise<unknown>;
    private stopping = false;

    constructor(plan: LoadPlan) {
        const numbers = Array.from({ length: plan.callers }, (_, number) => number);
        this.finished = Promise.all(numbers.map((number) => this.run(plan, number)));
    }

    /** Lets every caller finish its call, and sends no further one. */
    async stop(): Promise<void> {
        this.stopping = true;
        await this.finished;
    }

    private async run(plan: LoadPlan, number: number): Promise<void> {
        const caller = new Caller();
        for (let call = 0; !this.stopping; call++) {
            const record = await caller.send(plan.next(number, call)).ended;
            plan.onEnd(record);
            const isUnreachable = record.end === CallEnd.Unreachable;
            await sleep(isUnreachable ? unreachablePauseMilliseconds : plan.pauseMilliseconds);
        }
        await caller.close();
    }
}

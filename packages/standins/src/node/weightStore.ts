/**
 * Simulates the platform's weight store. A transfer takes a second by default, and longer if more than two run at once.
 *
 * @module
 */
import { sleep } from "./httpListener.js";

export interface WeightTransfer {
    readonly weights: string;
    /** Start in milliseconds since the Unix epoch. */
    readonly startedAt: number;
    /** End in milliseconds since the Unix epoch; undefined while the transfer runs. */
    endedAt?: number;
}

/** With more transfers than this at once, they share the bandwidth. */
const maxFullSpeedTransfers = 2;
const stepMilliseconds = 20;

/** Runs and records transfers. */
export class WeightStore {
    private readonly transfers: WeightTransfer[] = [];
    private running = 0;
    private maxRunning = 0;

    constructor(private readonly transferMilliseconds: number) {}

    /** Transfers weights. Resolves when the transfer has ended. */
    async transfer(weights: string): Promise<void> {
        const transfer: WeightTransfer = { weights, startedAt: Date.now() };
        this.transfers.push(transfer);
        this.running++;
        this.maxRunning = Math.max(this.maxRunning, this.running);
        let remainingMilliseconds = this.transferMilliseconds;
        while (remainingMilliseconds > 0) {
            await sleep(stepMilliseconds);
            remainingMilliseconds -= stepMilliseconds * Math.min(1, maxFullSpeedTransfers / this.running);
        }
        this.running--;
        transfer.endedAt = Date.now();
    }

    report(): { mostAtOnce: number; transfers: readonly WeightTransfer[]; } {
        return { mostAtOnce: this.maxRunning, transfers: this.transfers };
    }
}

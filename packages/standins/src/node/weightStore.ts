/**
 * The platform's weight store in little: a transfer takes about a second, and longer where more than two run at once.
 *
 * @module
 */
import { sleep } from "./httpListener.js";

/** One transfer of weights. */
export interface WeightTransfer {
    readonly weights: string;
    /** Start in milliseconds since the Unix epoch. */
    readonly startedAt: number;
    endedAt?: number;
}

/** Transfers at full speed at once. */
const fullSpeedTransfers = 2;
const stepMilliseconds = 20;

/** Runs transfers and remembers them. */
export class WeightStore {
    private readonly transfers: WeightTransfer[] = [];
    private running = 0;
    private mostAtOnce = 0;

    constructor(private readonly transferMilliseconds: number) {}

    /** Waits until the weights are transferred. */
    async transfer(weights: string): Promise<void> {
        const transfer: WeightTransfer = { weights, startedAt: Date.now() };
        this.transfers.push(transfer);
        this.running++;
        this.mostAtOnce = Math.max(this.mostAtOnce, this.running);
        let left = this.transferMilliseconds;
        while (left > 0) {
            await sleep(stepMilliseconds);
            left -= stepMilliseconds * Math.min(1, fullSpeedTransfers / this.running);
        }
        this.running--;
        transfer.endedAt = Date.now();
    }

    report(): { mostAtOnce: number; transfers: readonly WeightTransfer[]; } {
        return { mostAtOnce: this.mostAtOnce, transfers: this.transfers };
    }
}

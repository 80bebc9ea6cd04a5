/**
 * Limits how many requests the engine stand-in runs at once. Other requests wait in order of priority, then of arrival.
 *
 * @module
 */
interface WaitingRequest {
    readonly priority: number;
    readonly start: () => void;
}

/** Grants a fixed number of slots. */
export class SlotQueue {
    running = 0;
    private waitingRequests: WaitingRequest[] = [];

    constructor(private readonly slots: number) {}

    get waitingCount(): number {
        return this.waitingRequests.length;
    }

    /** Waits for a slot. Returns false if `signal` aborts first. */
    async acquire(priority: number, signal: AbortSignal): Promise<boolean> {
        if (signal.aborted) {
            return false;
        }
        if (this.running < this.slots) {
            this.running++;
            return true;
        }
        return new Promise((resolve) => {
            const entry: WaitingRequest = { priority, start: () => resolve(true) };
            const next = this.waitingRequests.findIndex((other) => other.priority > priority);
            this.waitingRequests.splice(next < 0 ? this.waitingRequests.length : next, 0, entry);
            signal.addEventListener("abort", () => {
                if (this.waitingRequests.includes(entry)) {
                    this.waitingRequests = this.waitingRequests.filter((other) => other !== entry);
                    resolve(false);
                }
            });
        });
    }

    /** Passes the slot on to the next waiting request, or frees it. */
    release(): void {
        const next = this.waitingRequests.shift();
        if (next) {
            next.start();
            return;
        }
        this.running--;
    }
}

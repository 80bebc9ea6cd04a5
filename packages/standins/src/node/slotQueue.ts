/**
 * The engine stand-in's slots: requests that run at once; others wait in order of priority, then of arrival.
 *
 * @module
 */
interface Waiting {
    readonly priority: number;
    readonly start: () => void;
}

/** Hands out a fixed number of slots. */
export class SlotQueue {
    running = 0;
    private waiting: Waiting[] = [];

    constructor(private readonly slots: number) {}

    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Waits for a slot; false where `signal` aborted first. */
    async acquire(priority: number, signal: AbortSignal): Promise<boolean> {
        if (signal.aborted) {
            return false;
        }
        if (this.running < this.slots) {
            this.running++;
            return true;
        }
        return new Promise((resolve) => {
            const entry: Waiting = { priority, start: () => resolve(true) };
            const next = this.waiting.findIndex((other) => other.priority > priority);
            this.waiting.splice(next < 0 ? this.waiting.length : next, 0, entry);
            signal.addEventListener("abort", () => {
                if (this.waiting.includes(entry)) {
                    this.waiting = this.waiting.filter((other) => other !== entry);
                    resolve(false);
                }
            });
        });
    }

    /** Gives a slot back. */
    release(): void {
        const next = this.waiting.shift();
        if (next) {
            next.start();
            return;
        }
        this.running--;
    }
}

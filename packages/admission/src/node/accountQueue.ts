/**
 * Queue of the requests of one account that wait for tokens at one router, in order of arrival.
 *
 * @module
 */
import type { AcquireOutcome } from "../decision/tokenAcquisition.js";

interface Waiter {
    readonly tokens: number;
    readonly attempt: () => Promise<AcquireOutcome>;
    readonly resolve: (outcome: AcquireOutcome) => void;
}

/** A first-in first-out queue that runs one attempt at a time. */
export class AccountQueue {
    private readonly waiters: Waiter[] = [];
    private waitingTokens = 0;

    /** True if no request is waiting. */
    get isEmpty(): boolean {
        return this.waiters.length === 0;
    }

    /** Tokens that the first waiting request needs; 0 if none is waiting. */
    get firstTokens(): number {
        return this.waiters[0]?.tokens ?? 0;
    }

    /** Total tokens that the waiting requests need. */
    get tokens(): number {
        return this.waitingTokens;
    }

    /** Adds a request; `attempt` runs when the attempts before it have ended. */
    enqueue(tokens: number, attempt: () => Promise<AcquireOutcome>): Promise<AcquireOutcome> {
        return new Promise((resolve) => {
            this.waiters.push({ tokens, attempt, resolve });
            this.waitingTokens += tokens;
            if (this.waiters.length === 1) {
                void this.serve();
            }
        });
    }

    /** Refuses every request but the first, whose attempt is running. */
    stop(): void {
        for (const waiter of this.waiters.splice(1)) {
            this.waitingTokens -= waiter.tokens;
            waiter.resolve({ admitted: false, retryAfter: Infinity });
        }
    }

    private async serve(): Promise<void> {
        while (this.waiters.length > 0) {
            const waiter = this.waiters[0];
            const outcome = await waiter.attempt();
            this.waiters.shift();
            this.waitingTokens -= waiter.tokens;
            waiter.resolve(outcome);
        }
    }
}

/**
 * Retry budget: a fault never multiplies the load on the endpoints. First attempts earn a tenth of a retry each,
 * retries spend a whole one, and what is saved up is capped.
 *
 * @module
 */

/** Retries earned by each first attempt. */
export const retriesPerRequest = 0.1;

/** Retries that a process may spend before its first requests have earned any. */
export const initialRetries = 3;

/** Retries that can be saved up. */
export const maximumSavedRetries = 50;

/** Counts earned and spent retries of one process. */
export class RetryBudget {
    private saved = initialRetries;

    /** Records the first attempt of a request. */
    recordRequest(): void {
        this.saved = Math.min(maximumSavedRetries, this.saved + retriesPerRequest);
    }

    /** Spends one retry; false, and nothing is spent, where the budget does not allow it. */
    trySpend(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }

    /** Retries that could be spent now. */
    get available(): number {
        return Math.floor(this.saved);
    }
}

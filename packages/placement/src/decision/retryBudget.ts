/**
 * Retry budget, so that a fault doesn't multiply the load on the endpoints. Each first attempt earns a tenth of a
 * retry, each retry spends a whole one, and the number of saved retries is limited.
 *
 * @module
 */

/** Retries earned by each first attempt. */
export const retriesPerRequest = 0.1;

/** Retries that a process can spend before its first requests have earned any. */
export const initialRetries = 3;

/** Maximum number of saved retries. */
export const maximumSavedRetries = 50;

/** Counts the earned and spent retries of one process. */
export class RetryBudget {
    private saved = initialRetries;

    /** Records the first attempt of a request. */
    recordRequest(): void {
        this.saved = Math.min(maximumSavedRetries, this.saved + retriesPerRequest);
    }

    /** Spends one retry. Returns false, and spends nothing, if less than one is saved. */
    trySpend(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }

    /** Number of retries that can be spent now. */
    get available(): number {
        return Math.floor(this.saved);
    }
}

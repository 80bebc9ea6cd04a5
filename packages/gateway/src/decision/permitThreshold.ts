/**
 * Decides which requests ask for a permit to an endpoint that limits their number. A limit counts requests, not their work, so
 * the permits go to those with the most work, and the other endpoints keep the rest. The threshold follows the
 * answers: it rises while permits are denied and falls while they are granted.
 *
 * @module
 */

/** Weight of one request in the average work. */
const averageWeight = 0.1;

/** Change of the threshold with one answer, as a share of the average work. */
const step = 0.1;

/** Threshold at one endpoint. Work is counted in tokens that the endpoint has to process. */
export class PermitThreshold {
    private threshold = 0;
    private averageWork: number | undefined;

    /** True if a request with this work should ask for a permit. */
    allows(work: number): boolean {
        return work >= this.threshold;
    }

    /** Records the answer to a request for a permit. */
    record(work: number, isGranted: boolean): void {
        this.averageWork ??= work;
        this.averageWork += averageWeight * (work - this.averageWork);
        const change = step * this.averageWork;
        this.threshold = Math.max(0, this.threshold + (isGranted ? -change : change));
    }
}

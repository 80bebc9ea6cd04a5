/**
 * Time of a step of a batch at an engine, as a linear function of the number of running requests, estimated by least
 * squares with weights that decrease with age.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Share of its weight that a measurement loses at each further one. */
const forgetting = 0.005;

/** Weight of measurements from which on the estimate is used. */
const minWeight = 5;

/** Estimated time of a step. */
export class StepTime {
    private weight = 0;
    private sumRunning = 0;
    private sumTime = 0;
    private sumRunningSquared = 0;
    private sumProduct = 0;

    observe(running: number, time: Milliseconds): void {
        const keep = 1 - forgetting;
        this.weight = this.weight * keep + 1;
        this.sumRunning = this.sumRunning * keep + running;
        this.sumTime = this.sumTime * keep + time;
        this.sumRunningSquared = this.sumRunningSquared * keep + running * running;
        this.sumProduct = this.sumProduct * keep + running * time;
    }

    /** Predicted time; `undefined` until enough has been measured. */
    predict(running: number): Milliseconds | undefined {
        if (this.weight < minWeight) {
            return undefined;
        }
        const meanRunning = this.sumRunning / this.weight;
        const meanTime = this.sumTime / this.weight;
        const variance = this.sumRunningSquared / this.weight - meanRunning * meanRunning;
        const covariance = this.sumProduct / this.weight - meanRunning * meanTime;
        const slope = variance > Number.EPSILON ? Math.max(0, covariance / variance) : 0;
        return Math.max(meanTime / 4, meanTime + slope * (running - meanRunning));
    }
}

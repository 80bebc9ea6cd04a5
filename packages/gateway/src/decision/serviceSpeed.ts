/**
 * Speed of a service's endpoints, estimated from their answers.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { ServiceNorm, StepTime } from "@redwingpin/placement";
import { ResponsePace, ServiceMemory } from "@redwingpin/scheduling";

/** Initial estimate of the prompt-processing speed, used until answers have been measured. */
const initialTokensPerMillisecond = 25;

/** Initial estimate of the time to the first event of a short prompt on an idle engine. */
const initialBaseLatency: Milliseconds = 25;

/** Initial estimate of the time per output token. */
const initialTimePerOutputToken: Milliseconds = 25;

/** Weight of one measurement in the moving averages. */
const averageWeight = 0.1;

/** Only prompts of at least this size are used to measure an engine's prompt-processing speed. */
const minMeasuredTokens = 1_000;

/** Speed of a service's endpoints, estimated from their answers. */
export class ServiceSpeed {
    tokensPerMillisecond = initialTokensPerMillisecond;
    baseLatency = initialBaseLatency;
    /** Moving average of the time from one output token to the next. */
    timePerOutputToken = initialTimePerOutputToken;
    /** Time from one event of a stream to the next, by the number of running requests. */
    readonly eventTime = new StepTime();
    /** How measured times of events compare with `eventTime`. */
    readonly eventNorm = new ServiceNorm();
    private readonly answerNorms = new Map<string, ServiceNorm>();
    /** What the service's requests hold of the engines' memory. */
    readonly memory = new ServiceMemory();
    /** Usual pauses of all endpoints of the service. */
    readonly pace = new ResponsePace();

    /**
     * Applies the time to the first event of a request that had no other request queued before it. `fetchTime` is the
     * part of it that went by while cached tokens were fetched.
     */
    observe(uncachedTokens: number, latency: Milliseconds, fetchTime: Milliseconds): void {
        const processingLatency = latency - fetchTime;
        if (uncachedTokens >= minMeasuredTokens && processingLatency > this.baseLatency) {
            const speed = uncachedTokens / (processingLatency - this.baseLatency);
            this.tokensPerMillisecond += averageWeight * (speed - this.tokensPerMillisecond);
        }
        else if (uncachedTokens < minMeasuredTokens) {
            const measuredBaseLatency = processingLatency - uncachedTokens / this.tokensPerMillisecond;
            this.baseLatency += averageWeight * (Math.max(1, measuredBaseLatency) - this.baseLatency);
        }
    }

    /** How times to the first event or whole answer compare with the predicted ones, on one route. */
    answerNorm(route: string): ServiceNorm {
        const norm = this.answerNorms.get(route) ?? new ServiceNorm();
        this.answerNorms.set(route, norm);
        return norm;
    }

    /** Applies the time from the first event of a stream to its end. */
    observeStream(outputTokens: number, duration: Milliseconds): void {
        if (outputTokens > 0) {
            this.timePerOutputToken += averageWeight * (duration / outputTokens - this.timePerOutputToken);
        }
    }
}

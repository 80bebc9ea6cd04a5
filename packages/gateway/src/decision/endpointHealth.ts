/**
 * Outlier detection by the outcomes of an endpoint's requests. An endpoint that fails much more often than its peers,
 * or repeatedly sends no answer, is ejected for a time that doubles with each ejection. At most half of the endpoints
 * of a service are ejected at the same time.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Weight of one outcome in {@link EndpointHealth.failureRate}. */
const outcomeWeight = 0.15;

/** An endpoint is an outlier if its failure rate exceeds the median of its peers by more than this. */
const maxExcessFailureRate = 0.3;

/** An endpoint is ejected after this many requests without a usable answer since its last success. */
const missingAnswersBeforeEjection = 2;

/** An endpoint is ejected after this many timeouts since its last success. */
const timeoutsBeforeEjection = 3;

/** Duration of the first ejection; each further one lasts twice as long. */
const baseEjectionTime: Milliseconds = 1_000;

/** Maximum duration of an ejection. */
const maxEjectionTime: Milliseconds = 8_000;

/** The duration of ejections is reset after this many consecutive successes. */
const successesToResetEjections = 10;

/** Health of one endpoint. */
export class EndpointHealth {
    /** Moving average of the share of failed requests. */
    failureRate = 0;
    private missingAnswersSinceSuccess = 0;
    private timeoutsSinceSuccess = 0;
    private successes = 0;
    private ejections = 0;
    private ejectedUntil: Milliseconds = -Infinity;

    isEjected(now: Milliseconds): boolean {
        return this.ejectedUntil > now;
    }

    recordSuccess(): void {
        this.failureRate -= outcomeWeight * this.failureRate;
        this.missingAnswersSinceSuccess = 0;
        this.timeoutsSinceSuccess = 0;
        this.successes += 1;
        if (this.successes >= successesToResetEjections) {
            this.ejections = 0;
        }
    }

    /** Records a complete error answer. */
    recordErrorAnswer(): void {
        this.failureRate += outcomeWeight * (1 - this.failureRate);
        this.successes = 0;
    }

    /** Records a request that got no usable answer. */
    recordNoAnswer(): void {
        this.recordErrorAnswer();
        this.missingAnswersSinceSuccess += 1;
    }

    /** Records a request that timed out. It does not count as a failure, since its deadline may have been too short. */
    recordTimeout(): void {
        this.timeoutsSinceSuccess += 1;
    }

    /** Ejects the endpoint if it is an outlier and enough of its peers remain. Returns whether it was ejected. */
    ejectIfOutlier(peers: readonly EndpointHealth[], now: Milliseconds): boolean {
        if (this.isEjected(now) || !this.isOutlier(peers)) {
            return false;
        }
        const ejected = peers.filter((peer) => peer !== this && peer.isEjected(now)).length;
        if (ejected + 1 > Math.floor(peers.length / 2)) {
            return false;
        }
        this.ejectedUntil = now + Math.min(maxEjectionTime, baseEjectionTime * 2 ** this.ejections);
        this.ejections += 1;
        this.missingAnswersSinceSuccess = 0;
        this.timeoutsSinceSuccess = 0;
        this.failureRate = this.failureRate / 2;
        return true;
    }

    private isOutlier(peers: readonly EndpointHealth[]): boolean {
        if (
            this.missingAnswersSinceSuccess >= missingAnswersBeforeEjection
            || this.timeoutsSinceSuccess >= timeoutsBeforeEjection
        ) {
            return true;
        }
        const others = peers.filter((peer) => peer !== this).map((peer) => peer.failureRate);
        others.sort((left, right) => left - right);
        const median = others[Math.floor(others.length / 2)] ?? 0;
        return this.failureRate > median + maxExcessFailureRate;
    }
}

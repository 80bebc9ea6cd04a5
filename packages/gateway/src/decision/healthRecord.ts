/**
 * How an endpoint's answers have been lately. An endpoint that fails far more often than its peers, or breaks off
 * again and again, is left out for a time that doubles; a part of a service always stays in use.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Weight of one outcome in the failing share. */
const outcomeWeight = 0.15;

/** An endpoint is failing where its failing share is this much above the median of its peers. */
const excessShare = 0.3;

/** Failures in a row, without any answer, after which an endpoint is left out. */
const brokenInARow = 2;

/** Requests in a row whose time ended without an answer, after which an endpoint is left out. */
const silentInARow = 3;

/** First time for which an endpoint is left out; each further one is twice as long. */
const firstEjection: Milliseconds = 1_000;

/** Longest time for which an endpoint is left out before it is tried again. */
const longestEjection: Milliseconds = 8_000;

/** Successes in a row after which earlier ejections are forgotten. */
const successesToForget = 10;

/** Outcomes of one endpoint. */
export class HealthRecord {
    /** Moving share of failures. */
    failing = 0;
    private brokenNow = 0;
    private silentNow = 0;
    private successes = 0;
    private ejections = 0;
    private ejectedUntil: Milliseconds = -Infinity;

    isEjected(now: Milliseconds): boolean {
        return this.ejectedUntil > now;
    }

    recordSuccess(): void {
        this.failing -= outcomeWeight * this.failing;
        this.brokenNow = 0;
        this.silentNow = 0;
        this.successes += 1;
        if (this.successes >= successesToForget) {
            this.ejections = 0;
        }
    }

    /** Notes an answer that states a failure. */
    recordFailure(): void {
        this.failing += outcomeWeight * (1 - this.failing);
        this.successes = 0;
    }

    /** Notes a request without any usable answer. */
    recordBroken(): void {
        this.recordFailure();
        this.brokenNow += 1;
    }

    /** Notes a request whose time ended without an answer; its time may just have been short. */
    recordSilence(): void {
        this.silentNow += 1;
    }

    /** Leaves the endpoint out if it is worse than its peers and enough of them stay. Returns whether it did. */
    ejectIfBad(peers: readonly HealthRecord[], now: Milliseconds): boolean {
        if (this.isEjected(now) || !this.isBad(peers)) {
            return false;
        }
        const ejected = peers.filter((peer) => peer !== this && peer.isEjected(now)).length;
        if (ejected + 1 > Math.floor(peers.length / 2)) {
            return false;
        }
        this.ejectedUntil = now + Math.min(longestEjection, firstEjection * 2 ** this.ejections);
        this.ejections += 1;
        this.brokenNow = 0;
        this.silentNow = 0;
        this.failing = this.failing / 2;
        return true;
    }

    private isBad(peers: readonly HealthRecord[]): boolean {
        if (this.brokenNow >= brokenInARow || this.silentNow >= silentInARow) {
            return true;
        }
        const others = peers.filter((peer) => peer !== this).map((peer) => peer.failing);
        others.sort((left, right) => left - right);
        const median = others[Math.floor(others.length / 2)] ?? 0;
        return this.failing > median + excessShare;
    }
}

/**
 * Detects that an endpoint is unresponsive: it owes bytes of answers for much longer than it usually takes. The usual pace
 * is learned, from the endpoint's own answers or, until there are enough of them, from those of its service.
 *
 * Only bytes of answers are a sign of life. An engine that no longer runs requests may accept connections and report its
 * state all the same.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Weight of one measurement in the moving averages. */
const averageWeight = 0.1;

/** Fewer measurements than this are not relied on. */
const minMeasurements = 8;

/** Multiple of the mean deviation that a usual pause stays within, as in the retransmission timer of TCP. */
const deviations = 4;

/** An answer is overdue after this multiple of the longest usual pause. */
const overdueMultiple = 2;

/** Shorter pauses within answers also occur at busy endpoints, by collections of garbage and preemptions. */
const minPartAllowance: Milliseconds = 500;

/** Shorter waits for an answer also occur at busy endpoints. */
const minFirstAllowance: Milliseconds = 1_000;

/** A longer pause counts as this multiple of the usual one, so that an outage hardly changes the estimate. */
const maxMeasuredMultiple = 2;

/**
 * Time until the first trial at an unresponsive endpoint. Further trials are less frequent: a silence that one long answer
 * has caused ends soon, and one of an endpoint that is down costs few requests.
 */
const firstTrialInterval: Milliseconds = 1_000;

/** A report of another router is ignored after this time. */
const peerReportLifetime: Milliseconds = 2_000;

/** Moving averages of a duration and of its deviation. */
export class PaceEstimate {
    private count = 0;
    private mean: Milliseconds = 0;
    private deviation: Milliseconds = 0;

    constructor(private readonly floor: Milliseconds) {}

    /** Longest usual duration; `undefined` until enough of them have been measured. */
    get usualMaximum(): Milliseconds | undefined {
        return this.count < minMeasurements ? undefined : this.mean + deviations * this.deviation;
    }

    observe(duration: Milliseconds): void {
        const usual = this.usualMaximum;
        const measured = usual === undefined
            ? duration
            : Math.min(duration, maxMeasuredMultiple * Math.max(this.floor, usual));
        this.count += 1;
        // The first measurements have equal weights.
        const weight = Math.max(averageWeight, 1 / this.count);
        this.deviation += weight * (Math.abs(measured - this.mean) - this.deviation);
        this.mean += weight * (measured - this.mean);
    }
}

/** Usual pauses of an endpoint, or of all endpoints of a service. */
export class ResponsePace {
    /** Time from the request to the first part of its answer. */
    readonly first = new PaceEstimate(minFirstAllowance);
    /** Time from one part to the next, of any answer, while answers are being sent. */
    readonly part = new PaceEstimate(minPartAllowance);
}

/** A request that was sent and whose answer is not complete. */
export interface OwedAnswerOptions {
    readonly sentAt: Milliseconds;
    /** Predicted time to the first part. */
    readonly expectedLatency: Milliseconds;
    /** True while the router itself does not read the answer, since the caller reads slowly. */
    readonly isBlocked: () => boolean;
    /** Called at each check while the answer is overdue. */
    readonly onOverdue: () => void;
}

/** Handle of an answer that an endpoint owes. */
export interface OwedAnswer {
    /** The first event or the whole answer has arrived. */
    begin(now: Milliseconds): void;
    /** The request has ended. */
    close(): void;
}

interface OwedRecord extends OwedAnswerOptions {
    owedSince: Milliseconds;
    isBegun: boolean;
}

/** What another router reports of an endpoint. */
export interface PeerObservation {
    /** Time for which the endpoint has been unresponsive to the router; absent if it is not. */
    readonly silentFor?: Milliseconds;
    /** Time since the router received bytes of an answer; only reported if another router reports silence. */
    readonly answeredAge?: Milliseconds;
}

/** Responsiveness of one endpoint, by the answers that it owes this router and by reports of others. */
export class ResponseMonitor {
    readonly pace = new ResponsePace();
    private readonly owed = new Set<OwedRecord>();
    private begunCount = 0;
    private begunSince: Milliseconds = -Infinity;
    private signAt: Milliseconds = -Infinity;
    private ownSilentSince: Milliseconds | undefined;
    private nextTrialAt: Milliseconds = -Infinity;
    private trialInterval: Milliseconds = 0;
    private maxTrialInterval: Milliseconds = 0;
    private peerSilence: { readonly since: Milliseconds; readonly receivedAt: Milliseconds; } | undefined;

    /** Registers a request that is sent now. */
    open(options: OwedAnswerOptions, servicePace: ResponsePace): OwedAnswer {
        const record: OwedRecord = { ...options, owedSince: options.sentAt, isBegun: false };
        this.owed.add(record);
        if (this.ownSilentSince !== undefined) {
            this.trialInterval = Math.min(this.maxTrialInterval, 2 * this.trialInterval);
            this.nextTrialAt = Math.max(this.nextTrialAt, options.sentAt + this.trialInterval);
        }
        return {
            begin: (now) => {
                if (!record.isBegun && this.owed.has(record)) {
                    record.isBegun = true;
                    this.begunSince = this.begunCount === 0 ? now : this.begunSince;
                    this.begunCount += 1;
                    const latency = now - record.sentAt;
                    this.pace.first.observe(latency);
                    servicePace.first.observe(latency);
                }
            },
            close: () => {
                if (this.owed.delete(record) && record.isBegun) {
                    this.begunCount -= 1;
                }
            },
        };
    }

    /** Records that a part of an answer has arrived. */
    recordPart(now: Milliseconds, servicePace: ResponsePace): void {
        if (this.begunCount > 0 && this.ownSilentSince === undefined) {
            const pause = now - Math.max(this.signAt, this.begunSince);
            this.pace.part.observe(pause);
            servicePace.part.observe(pause);
        }
        this.recordSign(now);
    }

    /** True if an answer is overdue. `countFrom` is the earliest time from which silence counts. */
    isOverdue(now: Milliseconds, servicePace: ResponsePace, countFrom: Milliseconds): boolean {
        let isOverdue = false;
        for (const record of this.owed) {
            if (record.isBlocked()) {
                record.owedSince = now;
            }
            isOverdue ||= this.isRecordOverdue(record, now, servicePace, countFrom);
        }
        return isOverdue;
    }

    /** Notifies the requests whose answers are overdue. */
    notifyOverdue(now: Milliseconds, servicePace: ResponsePace, countFrom: Milliseconds): void {
        [...this.owed].filter((record) => this.isRecordOverdue(record, now, servicePace, countFrom))
            .forEach((record) => record.onOverdue());
    }

    private isRecordOverdue(
        record: OwedRecord,
        now: Milliseconds,
        servicePace: ResponsePace,
        countFrom: Milliseconds,
    ): boolean {
        const silence = now - Math.max(this.signAt, record.owedSince, countFrom);
        if (silence < minPartAllowance) {
            return false;
        }
        const kind = record.isBegun ? "part" : "first";
        const usual = this.pace[kind].usualMaximum ?? servicePace[kind].usualMaximum;
        if (usual === undefined) {
            return false;
        }
        return silence > (record.isBegun
            ? Math.max(minPartAllowance, overdueMultiple * usual)
            : Math.max(minFirstAllowance, overdueMultiple * Math.max(usual, record.expectedLatency)));
    }

    /**
     * Marks the endpoint as unresponsive until a sign of life. It gets one request at a time, at intervals that double up to
     * `maxTrialInterval`.
     */
    declareSilent(now: Milliseconds, maxTrialInterval: Milliseconds): void {
        const owedSince = Math.min(now, ...[...this.owed].map((record) => record.owedSince));
        this.ownSilentSince = Math.max(this.signAt, owedSince);
        this.maxTrialInterval = maxTrialInterval;
        this.trialInterval = Math.min(firstTrialInterval, maxTrialInterval);
        this.nextTrialAt = now + this.trialInterval;
    }

    /** True if this router itself has found the endpoint unresponsive. */
    get isSilent(): boolean {
        return this.ownSilentSince !== undefined;
    }

    /** True if this router or another one has found the endpoint unresponsive. */
    isUnresponsive(now: Milliseconds): boolean {
        return this.isSilent || this.freshPeerSilence(now) !== undefined;
    }

    /** True if new requests should go elsewhere. Requests that may not run again are the last to try it. */
    isAvoided(now: Milliseconds, isRepeatable: boolean): boolean {
        if (this.ownSilentSince === undefined) {
            return this.freshPeerSilence(now) !== undefined;
        }
        return now < this.nextTrialAt + (isRepeatable ? 0 : this.trialInterval);
    }

    /** What this router reports to others; empty while nobody finds the endpoint unresponsive. */
    report(now: Milliseconds): PeerObservation {
        if (this.ownSilentSince !== undefined) {
            return { silentFor: Math.max(0, now - this.ownSilentSince) };
        }
        return this.peerSilence !== undefined && now - this.peerSilence.receivedAt < peerReportLifetime
                && Number.isFinite(this.signAt)
            ? { answeredAge: Math.max(0, now - this.signAt) }
            : {};
    }

    /** Applies another router's report. */
    observePeer({ answeredAge, silentFor }: PeerObservation, now: Milliseconds): void {
        if (answeredAge !== undefined) {
            this.recordSign(now - answeredAge);
        }
        if (silentFor !== undefined) {
            // A later report of a shorter silence must not hide that of a longer one, and the other way round.
            this.peerSilence = {
                since: Math.max(now - silentFor, this.freshPeerSilence(now) ?? -Infinity),
                receivedAt: now,
            };
        }
    }

    /** Start of a silence that another router reports and that no later sign of life contradicts. */
    private freshPeerSilence(now: Milliseconds): Milliseconds | undefined {
        const { peerSilence } = this;
        return peerSilence !== undefined && now - peerSilence.receivedAt < peerReportLifetime
                && this.signAt <= peerSilence.since
            ? peerSilence.since
            : undefined;
    }

    private recordSign(at: Milliseconds): void {
        if (at <= this.signAt) {
            return;
        }
        this.signAt = at;
        if (this.ownSilentSince !== undefined && at > this.ownSilentSince) {
            this.ownSilentSince = undefined;
            this.trialInterval = 0;
            this.nextTrialAt = -Infinity;
        }
    }
}

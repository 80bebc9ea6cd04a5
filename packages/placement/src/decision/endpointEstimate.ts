/**
 * Estimates how slow an endpoint is compared with its service, from the times of its answers as multiples of the times
 * that were predicted for any endpoint of the service.
 *
 * The estimate is the median of the last measurements, so that one slow answer has no effect, and a few in a row have. It
 * shrinks towards that of the service while there are few measurements, while they are old, and by as much as the
 * measurements of the service usually scatter. Old measurements are dropped, so that an endpoint that was slow gets some
 * requests that show whether it still is.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Number of measurements that are kept of an endpoint. */
const maxMeasurements = 9;

/** With fewer measurements, the service's value stands in for those that are missing. */
const minMeasurements = 3;

/** A measurement of this age has lost about two thirds of its weight. */
const decayTime: Milliseconds = 5_000;

/** Older measurements are dropped. */
const maxAge: Milliseconds = 12_000;

/** Weight of the service's own value, in measurements. */
const serviceWeight = 1;

/** Differences up to this factor are ignored. */
const ignoredFactor = 1.15;

/** Multiple of the standard error of the measurements up to which a difference is ignored. */
const ignoredErrors = 1.5;

/** Bound of the estimate, either way. */
const maxFactor = 10;

/** A smaller scatter is not relied on. */
const minScatter = 0.1;

/** Step of the service's centre, and of its scatter, at each measurement. */
const normStep = 0.02;

/** A measurement moves the centre no further than one with this difference, so that slow endpoints hardly do. */
const maxCentreDifference = 0.3;

/** A report of another router is ignored after this time. */
const peerReportLifetime: Milliseconds = 2_500;

const maxLogarithm = Math.log(maxFactor);
const ignoredLogarithm = Math.log(ignoredFactor);

/** A measured time as a multiple of the usual one: its logarithm, and by how much those of the service scatter. */
export interface NormalizedTime {
    readonly difference: number;
    readonly scatter: number;
}

/** The usual ratio of measured to predicted times of one kind at all endpoints of a service, and its scatter. */
export class ServiceNorm {
    private centre = 0;
    private scatter = 0.5;

    /** Applies a measurement; returns it relative to the usual ratio, or `undefined` if it can't be used. */
    observe(measured: Milliseconds, predicted: Milliseconds): NormalizedTime | undefined {
        if (!(measured > 0) || !(predicted > 0)) {
            return undefined;
        }
        const exact = Math.log(measured / predicted) - this.centre;
        const difference = Math.min(maxLogarithm, Math.max(-maxLogarithm, exact));
        this.centre += normStep * Math.min(maxCentreDifference, Math.max(-maxCentreDifference, exact));
        // Limited, so that the difference of slow endpoints does not count as the usual scatter.
        this.scatter += normStep * (Math.min(Math.abs(difference), 3 * this.scatter) - this.scatter);
        return { difference, scatter: this.scatter };
    }
}

interface Measurement extends NormalizedTime {
    readonly at: Milliseconds;
}

/** What a router reports of an endpoint's slowness. */
export interface SlownessReport {
    /** Time of an answer as a multiple of the usual one of the service. */
    readonly slowness: number;
    /** Number of measurements behind it, by their remaining weight. */
    readonly evidence: number;
}

/** What was measured, since the times of different kinds scatter differently. */
export type MeasuredKind = "answer" | "event";

/** The last measurements of one kind. */
class MeasurementSeries {
    private measurements: Measurement[] = [];

    add(measurement: Measurement): void {
        if (this.measurements.length >= maxMeasurements) {
            this.measurements.shift();
        }
        this.measurements.push(measurement);
    }

    dropOld(now: Milliseconds): void {
        if (this.measurements.length > 0 && now - this.measurements[0].at >= maxAge) {
            this.measurements = this.measurements.filter(({ at }) => now - at < maxAge);
        }
    }

    get isEmpty(): boolean {
        return this.measurements.length === 0;
    }

    /** Logarithm of the slowness beyond what is ignored, the evidence for it, and its weight beside other kinds. */
    summarize(
        now: Milliseconds,
    ): { readonly difference: number; readonly evidence: number; readonly weight: number; } {
        const { measurements } = this;
        if (measurements.length === 0) {
            return { difference: 0, evidence: 0, weight: 0 };
        }
        const evidence = measurements.reduce((sum, { at }) => sum + Math.exp((at - now) / decayTime), 0);
        const scatter = measurements.reduce((sum, measurement) => sum + measurement.scatter, 0)
            / measurements.length;
        const differences = measurements.map(({ difference }) => difference);
        while (differences.length < minMeasurements) {
            differences.push(0);
        }
        const median = medianOf(differences);
        const ignored = ignoredLogarithm + ignoredErrors * scatter / Math.sqrt(measurements.length);
        const difference = Math.sign(median) * Math.max(0, Math.abs(median) - ignored);
        return { difference, evidence, weight: evidence / Math.max(minScatter, scatter) ** 2 };
    }
}

/** Slowness of one endpoint compared with its service. */
export class EndpointEstimate {
    /** Times of the endpoint's answers as a multiple of those of its service, as of the last update. */
    slowness = 1;
    private readonly series: Readonly<Record<MeasuredKind, MeasurementSeries>> = {
        answer: new MeasurementSeries(),
        event: new MeasurementSeries(),
    };
    private readonly peerReports = new Map<string, SlownessReport & { readonly at: Milliseconds; }>();

    /** Applies a measurement. */
    observe(kind: MeasuredKind, time: NormalizedTime | undefined, now: Milliseconds): void {
        if (time !== undefined) {
            this.series[kind].add({ ...time, at: now });
            this.update(now);
        }
    }

    /** Applies another router's report; `undefined` if it reports nothing about the endpoint. */
    observePeer(router: string, report: SlownessReport | undefined, now: Milliseconds): void {
        if (report !== undefined) {
            const slowness = Math.min(maxFactor, Math.max(1 / maxFactor, report.slowness));
            const evidence = Math.min(2 * maxMeasurements, report.evidence);
            this.peerReports.set(router, { slowness, evidence, at: now });
        }
        else if (this.peerReports.delete(router)) {
            this.update(now);
        }
    }

    /** What this router reports to others; `undefined` if it has measured no clear difference itself. */
    report(now: Milliseconds): SlownessReport | undefined {
        const { difference, evidence } = this.ownDifference(now);
        return difference === 0 ? undefined : { slowness: Math.exp(difference), evidence };
    }

    /** Computes {@link slowness} anew; called at intervals, since measurements age. */
    update(now: Milliseconds): void {
        const { answer, event } = this.series;
        answer.dropOld(now);
        event.dropOld(now);
        const own = this.ownDifference(now);
        let sum = own.difference * own.evidence;
        let evidence = own.evidence + serviceWeight;
        for (const [router, report] of this.peerReports) {
            if (now - report.at >= peerReportLifetime) {
                this.peerReports.delete(router);
                continue;
            }
            sum += Math.log(report.slowness) * report.evidence;
            evidence += report.evidence;
        }
        const logarithm = sum / evidence;
        this.slowness = Math.exp(Math.min(maxLogarithm, Math.max(-maxLogarithm, logarithm)));
    }

    /** Logarithm of the slowness that this router has measured, beyond what is ignored. */
    private ownDifference(now: Milliseconds): { readonly difference: number; readonly evidence: number; } {
        const { answer, event } = this.series;
        if (answer.isEmpty && event.isEmpty) {
            return { difference: 0, evidence: 0 };
        }
        const [answers, events] = [answer.summarize(now), event.summarize(now)];
        const weight = answers.weight + events.weight;
        const difference = (answers.difference * answers.weight + events.difference * events.weight) / weight;
        return { difference, evidence: answers.evidence + events.evidence };
    }
}

function medianOf(values: number[]): number {
    values.sort((left, right) => left - right);
    const middle = Math.floor(values.length / 2);
    return values.length % 2 === 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

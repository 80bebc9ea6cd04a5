/**
 * Measures the time from one event to the next of the streams that run at an endpoint, while they run.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time over which events are counted for one measurement. */
const minMeasuredTime: Milliseconds = 400;

/** Events that one measurement has at least, unless the stream hardly makes progress. */
const minMeasuredEvents = 4;

/** A stream that ends is measured if it has sent events for this time. */
const minEndedTime: Milliseconds = 50;

/** Maximum number of streams that are remembered between two measurements. */
const maxEndedStreams = 16;

/** Time after which a stream with fewer events is measured all the same. */
const maxMeasuredTime: Milliseconds = 1_200;

/** A stream that is measured. */
export interface MeasuredStream {
    /** Number of events that were received. */
    readonly events: () => number;
    /** True while the router does not read the stream, since the caller reads slowly. */
    readonly isBlocked: () => boolean;
}

interface StreamRecord extends MeasuredStream {
    countedFrom: Milliseconds;
    countedEvents: number;
}

/** Streams of this router at one endpoint. */
export class StreamPace {
    private readonly streams = new Set<StreamRecord>();
    /** Times of streams that have ended since the last measurement. */
    private ended: Milliseconds[] = [];

    /** Registers a stream whose first event has arrived; the returned function ends it. */
    open(stream: MeasuredStream, now: Milliseconds): (endedAt: Milliseconds) => void {
        const record = { ...stream, countedFrom: now, countedEvents: stream.events() };
        this.streams.add(record);
        return (endedAt) => {
            const time = endedAt - record.countedFrom;
            const events = record.events() - record.countedEvents;
            const isMeasured = time >= minEndedTime && events >= minMeasuredEvents && !record.isBlocked();
            if (this.streams.delete(record) && isMeasured && this.ended.length < maxEndedStreams) {
                this.ended.push(time / events);
            }
        };
    }

    /** Times from one event to the next, of the streams whose measurement is complete. */
    measure(now: Milliseconds): Milliseconds[] {
        const times = this.ended;
        this.ended = [];
        for (const record of this.streams) {
            const time = now - record.countedFrom;
            const total = record.events();
            const events = total - record.countedEvents;
            const isComplete = time >= minMeasuredTime && events >= minMeasuredEvents
                || time >= maxMeasuredTime;
            if (record.isBlocked() || isComplete) {
                record.countedFrom = now;
                record.countedEvents = total;
            }
            if (isComplete && !record.isBlocked()) {
                times.push(time / Math.max(1, events));
            }
        }
        return times;
    }
}

/**
 * Splits an event stream into complete events and reads their identifiers. The bytes of an incomplete event are
 * buffered, so that an interrupted stream ends at the boundary of an event.
 *
 * @module
 */

/** A complete event, including the blank line that ends it. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Absent if the event has no identifier. */
    readonly identifier?: string;
}

/** Maximum size of a buffered event. */
export const maxEventBytes = 1_048_576;

const identifierPattern = /^id: ?(.*)$/m;

/** Reader of one stream. */
export class EventStreamReader {
    private incompleteEvent: Buffer = Buffer.alloc(0);

    /** Adds received bytes and returns the events that are now complete. */
    read(received: Buffer): StreamEvent[] {
        const bytes = this.incompleteEvent.length === 0
            ? received
            : Buffer.concat([this.incompleteEvent, received]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({
                bytes: event,
                identifier: identifierPattern.exec(event.toString("latin1"))?.[1]?.trim(),
            });
            start = end;
        }
        this.incompleteEvent = bytes.subarray(start);
        return events;
    }

    /** Size of the incomplete event that is buffered. */
    get bufferedBytes(): number {
        return this.incompleteEvent.length;
    }

    /** True while an incomplete event is buffered. */
    get hasPartialEvent(): boolean {
        return this.bufferedBytes > 0;
    }

    /** True if the buffered event exceeds the maximum size. */
    get isOverlong(): boolean {
        return this.bufferedBytes > maxEventBytes;
    }
}

/** Position after the blank line that ends the first event from `start`; 0 if no event is complete. */
function findEventEnd(bytes: Buffer, start: number): number {
    const lineFeeds = bytes.indexOf("\n\n", start, "latin1");
    const carriageReturns = bytes.indexOf("\r\n\r\n", start, "latin1");
    if (carriageReturns >= 0 && (lineFeeds < 0 || carriageReturns < lineFeeds)) {
        return carriageReturns + 4;
    }
    return lineFeeds < 0 ? 0 : lineFeeds + 2;
}

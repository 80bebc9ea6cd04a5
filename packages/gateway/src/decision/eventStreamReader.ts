/**
 * Splits an event stream into complete events and reads their identifiers. The bytes of an incomplete event are
 * buffered, so that an interrupted stream ends at the boundary of an event. Blank lines before an event are part of it.
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

/** Maximum size of buffered blank lines that no event has followed yet. */
export const maxBlankBytes = 65_536;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

const identifierPattern = /^id: ?(.*)$/m;

/** Reader of one stream. */
export class EventStreamReader {
    /** Starts with the incomplete event; the rest is free. */
    private buffer: Buffer = Buffer.alloc(0);
    private incompleteBytes = 0;
    /** True if the incomplete event has more than blank lines. */
    private hasContent = false;

    /** Adds received bytes and returns the events that are now complete. */
    read(received: Buffer): StreamEvent[] {
        const searched = Math.max(0, this.incompleteBytes - maxDelimiterBytes + 1);
        const bytes = this.append(received);
        const events: StreamEvent[] = [];
        let start = 0;
        let contentStart = this.hasContent ? searched : skipLineBreaks(bytes, searched);
        for (let end = findEventEnd(bytes, contentStart); end > 0; end = findEventEnd(bytes, contentStart)) {
            const event = bytes.subarray(start, end);
            contentStart = skipLineBreaks(bytes, end);
            events.push({
                bytes: event,
                identifier: identifierPattern.exec(event.toString("latin1"))?.[1]?.trim(),
            });
            start = end;
        }
        this.hasContent = contentStart < bytes.length;
        if (events.length > 0 || this.incompleteBytes === 0) {
            // The events may still be read, so their buffer is not written any more.
            this.buffer = Buffer.alloc(0);
            this.incompleteBytes = 0;
            const rest = bytes.subarray(start);
            this.reserve(rest.length);
            rest.copy(this.buffer);
            this.incompleteBytes = rest.length;
        }
        else {
            this.incompleteBytes = bytes.length;
        }
        return events;
    }

    /** Returns the incomplete event with the received bytes. Its buffer doubles, so that small chunks are copied rarely. */
    private append(received: Buffer): Buffer {
        if (this.incompleteBytes === 0) {
            return received;
        }
        const size = this.incompleteBytes + received.length;
        this.reserve(size);
        received.copy(this.buffer, this.incompleteBytes);
        return this.buffer.subarray(0, size);
    }

    private reserve(size: number): void {
        if (this.buffer.length < size) {
            const grown = Buffer.allocUnsafeSlow(2 * size);
            this.buffer.copy(grown, 0, 0, this.incompleteBytes);
            this.buffer = grown;
        }
    }

    /** Size of the incomplete event that is buffered. */
    get bufferedBytes(): number {
        return this.incompleteBytes;
    }

    /** True while an incomplete event is buffered. */
    get hasPartialEvent(): boolean {
        return this.hasContent;
    }

    /** Blank lines after the last event; empty while an incomplete event is buffered. */
    get trailingBlankLines(): Buffer {
        return this.buffer.subarray(0, this.hasContent ? 0 : this.incompleteBytes);
    }

    /** True if the buffered event, or the blank lines without one, exceed their maximum size. */
    get isOverlong(): boolean {
        return this.bufferedBytes > (this.hasContent ? maxEventBytes : maxBlankBytes);
    }
}

/** Size in bytes of the longest blank line that ends an event. */
const maxDelimiterBytes = 4;

/** Position of the first byte from `start` that is no line break; the length if there is none. */
function skipLineBreaks(bytes: Buffer, start: number): number {
    let position = start;
    while (bytes[position] === lineFeed || bytes[position] === carriageReturn) {
        position += 1;
    }
    return position;
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

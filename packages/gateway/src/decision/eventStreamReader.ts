/**
 * Cuts an event stream into whole events and reads their identifiers. Bytes of an event that is not complete are kept
 * back, so that a stream which breaks off ends at an event's boundary.
 *
 * @module
 */

/** One whole event with the blank line that ends it. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Absent where the event names none. */
    readonly identifier?: string;
}

/** Longest event that is kept back. */
export const maxEventBytes = 1_048_576;

const identifierPattern = /^id: ?(.*)$/m;

/** Reads one stream. */
export class EventStreamReader {
    private rest: Buffer = Buffer.alloc(0);

    /** Takes in bytes and returns the events that they complete. */
    read(received: Buffer): StreamEvent[] {
        const bytes = this.rest.length === 0 ? received : Buffer.concat([this.rest, received]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = eventEnd(bytes, start); end > 0; end = eventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({
                bytes: event,
                identifier: identifierPattern.exec(event.toString("latin1"))?.[1]?.trim(),
            });
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }

    /** True while an event has begun and is not complete. */
    get hasPartialEvent(): boolean {
        return this.rest.length > 0;
    }

    /** True where the bytes kept back are more than an event may have. */
    get isOverlong(): boolean {
        return this.rest.length > maxEventBytes;
    }
}

/** Position after the blank line that ends the first event from `start`; 0 where there is none. */
function eventEnd(bytes: Buffer, start: number): number {
    const plain = bytes.indexOf("\n\n", start, "latin1");
    const carriage = bytes.indexOf("\r\n\r\n", start, "latin1");
    if (carriage >= 0 && (plain < 0 || carriage < plain)) {
        return carriage + 4;
    }
    return plain < 0 ? 0 : plain + 2;
}

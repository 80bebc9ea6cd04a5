/**
 * Server-sent events of a completion stream: splits a byte stream into events, counts their tokens and detects its end.
 *
 * @module
 */

/** Last event of a complete completion stream, as OpenAI-compatible engines send it. */
const endOfStream = "data: [DONE]";

/** Maximum size in bytes of what is received without completing an event. */
export const maxEventBytes = 1_048_576;

/** One whole event, with the blank line that ends it. */
export interface StreamEvent {
    readonly text: string;
    /** True for the event that ends a complete stream. */
    readonly isEnd: boolean;
}

/** Splits a byte stream into whole events; an incomplete event is buffered until the rest is received. */
export class EventStreamReader {
    private readonly decoder = new TextDecoder();
    private incompleteEvent = "";
    private bytesSinceEvent = 0;

    /** True if the incomplete event, or the blank lines without one, exceed their maximum size. */
    get isOverlong(): boolean {
        return this.bytesSinceEvent > maxEventBytes;
    }

    /** Reads bytes and returns the events that they complete. */
    read(data: Uint8Array): StreamEvent[] {
        const pieces = (this.incompleteEvent + this.decoder.decode(data, { stream: true })).replaceAll(
            "\r\n",
            "\n",
        )
            .split("\n\n");
        this.incompleteEvent = pieces.pop()!;
        const events = pieces
            .filter((piece) => piece.length > 0)
            .map((piece) => ({ text: `${piece}\n\n`, isEnd: piece === endOfStream }));
        this.bytesSinceEvent = events.length > 0 ? 0 : this.bytesSinceEvent + data.length;
        return events;
    }
}

/** Counts the tokens in events: engines send one event with text per token, and other events without text. */
export function countTokens(events: readonly StreamEvent[]): number {
    return events.filter((event) => !event.isEnd && hasText(event.text)).length;
}

const dataPrefix = "data:";

function hasText(event: string): boolean {
    if (!event.startsWith(dataPrefix)) {
        return false;
    }
    try {
        const body = JSON.parse(event.slice(dataPrefix.length)) as CompletionEvent;
        const choice = body.choices?.[0];
        return Boolean(choice?.text ?? choice?.delta?.content);
    }
    catch {
        return false;
    }
}

interface CompletionEvent {
    readonly choices?: readonly {
        readonly text?: string;
        readonly delta?: { readonly content?: string; };
    }[];
}

/** The event that reports to the caller that its stream was interrupted; no end event follows. */
export function errorEvent(code: string, message: string): string {
    return `data: ${JSON.stringify({ error: { message, type: "server_error", code } })}\n\n`;
}

/**
 * Server-sent events of a completion stream: cut into whole events, counted in tokens, and checked for their end.
 *
 * @module
 */

/** Last event of a complete completion stream, as OpenAI-compatible engines send it. */
const endOfStream = "data: [DONE]";

/** One whole event, with the blank line that ends it. */
export interface StreamEvent {
    readonly text: string;
    /** True for the event that ends a complete stream. */
    readonly isEnd: boolean;
}

/** Cuts a byte stream into whole events; a part of an event is held back until the rest comes. */
export class EventStreamReader {
    private readonly decoder = new TextDecoder();
    private rest = "";

    /** Takes in bytes and returns the events that they complete. */
    read(data: Uint8Array): StreamEvent[] {
        const pieces = (this.rest + this.decoder.decode(data, { stream: true })).replaceAll("\r\n", "\n")
            .split("\n\n");
        this.rest = pieces.pop()!;
        return pieces
            .filter((piece) => piece.length > 0)
            .map((piece) => ({ text: `${piece}\n\n`, isEnd: piece === endOfStream }));
    }
}

/** Counts the tokens that events deliver: engines send one event a token, and others that carry no text. */
export function countTokens(events: readonly StreamEvent[]): number {
    return events.filter((event) => !event.isEnd && carriesText(event.text)).length;
}

const dataPrefix = "data:";

function carriesText(event: string): boolean {
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

/** The event that tells a caller that its stream broke off; no end event follows it. */
export function errorEvent(code: string, message: string): string {
    return `data: ${JSON.stringify({ error: { message, type: "server_error", code } })}\n\n`;
}

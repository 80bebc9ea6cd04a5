/**
 * Fuzzes streams: whichever messages are lost, repeated, swapped or truncated, the router's exchanges and relay must
 * deliver every token once and in order, or an answer that the caller can recognize as incomplete.
 *
 * @module
 */
import { RoutePriority } from "@redwingpin/manifest";
import { type EndpointStatus, type ExchangeMessage, MessageKind } from "@redwingpin/protocol";
import {
    AnswerRelay,
    type Exchange,
    type ExchangeConnection,
    ExchangeTable,
    type OpenFields,
} from "@redwingpin/router";
import fc from "fast-check";
import type { ServerResponse } from "node:http";
import type { FuzzTarget } from "./fuzzTarget.js";

/** What happens to one message of the agent in transit. */
enum Fault {
    None = "none",
    Lost = "lost",
    Repeated = "repeated",
    SwappedWithNext = "swappedWithNext",
    /** The connection closes before the message. */
    ConnectionClosed = "connectionClosed",
    /** A copy of the message arrives under the number of another exchange, before the message itself. */
    CopyOnOtherExchange = "copyOnOtherExchange",
}

/** One attempt at the stream: the size of its chunks, and what happens to its messages. */
interface AttemptScript {
    readonly chunkBytes: number;
    readonly faults: readonly Fault[];
}

interface StreamScript {
    readonly tokens: number;
    readonly attempts: readonly AttemptScript[];
}

const maximumTokens = 12;
const maximumAttempts = 4;
const endEvent = "data: [DONE]\n\n";

const scripts: fc.Arbitrary<StreamScript> = fc.record({
    tokens: fc.integer({ min: 0, max: maximumTokens }),
    attempts: fc.array(
        fc.record({
            chunkBytes: fc.integer({ min: 1, max: 120 }),
            faults: fc.array(
                fc.oneof(
                    { weight: 6, arbitrary: fc.constant(Fault.None) },
                    { weight: 1, arbitrary: fc.constantFrom(...Object.values(Fault)) },
                ),
                { maxLength: 60 },
            ),
        }),
        { minLength: 1, maxLength: maximumAttempts },
    ),
});

/** Fuzzes streams. */
export const streamsTarget: FuzzTarget = {
    name: "streams",
    boundedRuns: 300,
    property: () =>
        fc.asyncProperty(scripts, async (script) => {
            const caller = new RecordingCaller();
            const isComplete = await runStream(script, caller);
            checkAnswer(script, caller, isComplete);
        }),
};

/** The oracle: the caller has a prefix of the stream; its answer ended normally only if that is the whole stream. */
function checkAnswer(script: StreamScript, caller: RecordingCaller, isComplete: boolean): void {
    const fullText = streamText(0, script.tokens);
    if (!fullText.startsWith(caller.text)) {
        throw new Error(
            `the caller received ${JSON.stringify(caller.text)}, which is not a prefix of the stream`,
        );
    }
    if (caller.ended !== isComplete || (isComplete && caller.text !== fullText)) {
        throw new Error(
            `the answer ${caller.ended ? "ended normally" : "was truncated"} with ${
                JSON.stringify(caller.text)
            }, which contradicts the relay's result or the stream`,
        );
    }
}

async function runStream(script: StreamScript, caller: RecordingCaller): Promise<boolean> {
    const relay = new AnswerRelay(caller.response, { isCompletionStream: true, onFirstByte: () => {} });
    for (const attempt of script.attempts) {
        const table = new ExchangeTable<ExchangeConnection>();
        const exchange = table.open(stubConnection, openFields(), Buffer.alloc(0));
        const messages = withFaults(
            answerMessages(relay.deliveredTokens, script.tokens, attempt.chunkBytes),
            attempt.faults,
        );
        for (const message of messages) {
            if (message === Fault.ConnectionClosed) {
                break;
            }
            table.receive(stubConnection, message);
        }
        // Messages that were not delivered are lost with the connection.
        table.closeConnection(stubConnection);
        if (await relayAnswer(exchange, relay)) {
            return true;
        }
    }
    return false;
}

async function relayAnswer(exchange: Exchange, relay: AnswerRelay): Promise<boolean> {
    for (let event = await exchange.next(); event !== undefined; event = await exchange.next()) {
        switch (event.kind) {
            case "head":
                relay.begin(event.head.status, event.head.headers);
                break;
            case "data":
                await relay.write(event.data);
                break;
            case "ended":
                return relay.finish();
            default:
                return relay.isStreamComplete && relay.finish();
        }
    }
    return false;
}

function answerMessages(firstToken: number, tokens: number, chunkBytes: number): ExchangeMessage[] {
    const bytes = Buffer.from(streamText(firstToken, tokens));
    const chunks: ExchangeMessage[] = [];
    for (let start = 0; start < bytes.length; start += chunkBytes) {
        const data = bytes.subarray(start, start + chunkBytes);
        chunks.push({ kind: MessageKind.Chunk, exchange: 1, sequence: chunks.length, data });
    }
    const headers = [{ name: "content-type", value: "text/event-stream" }];
    return [
        { kind: MessageKind.Head, exchange: 1, status: 200, headers, hitBlocks: 0 },
        ...chunks,
        { kind: MessageKind.End, exchange: 1, chunks: chunks.length, status },
    ];
}

function withFaults(
    messages: readonly ExchangeMessage[],
    faults: readonly Fault[],
): (ExchangeMessage | Fault.ConnectionClosed)[] {
    const delivered: (ExchangeMessage | Fault.ConnectionClosed)[] = [];
    const remaining = [...messages];
    for (let index = 0; remaining.length > 0; index++) {
        const message = remaining.shift()!;
        switch (faults[index] ?? Fault.None) {
            case Fault.None:
                delivered.push(message);
                break;
            case Fault.Lost:
                break;
            case Fault.Repeated:
                delivered.push(message, message);
                break;
            case Fault.SwappedWithNext:
                delivered.push(...remaining.splice(0, 1), message);
                break;
            case Fault.ConnectionClosed:
                return [...delivered, Fault.ConnectionClosed];
            case Fault.CopyOnOtherExchange:
                delivered.push({ ...message, exchange: 2 } as ExchangeMessage, message);
                break;
        }
    }
    return delivered;
}

function streamText(firstToken: number, tokens: number): string {
    const events = [];
    for (let token = firstToken; token < tokens; token++) {
        events.push(`data: ${JSON.stringify({ choices: [{ text: `τ${token} ` }] })}\n\n`);
    }
    return events.join("") + endEvent;
}

/** Records what the caller receives. */
class RecordingCaller {
    text = "";
    ended = false;

    /** The part of Node's response that the relay uses. */
    readonly response = {
        destroyed: false,
        writableFinished: false,
        writeHead: () => {},
        write: (data: string | Uint8Array) => this.receive(data),
        end: (data?: string | Uint8Array) => {
            this.receive(data ?? "");
            this.ended = true;
        },
        destroy: () => {},
    } as unknown as ServerResponse;

    private receive(data: string | Uint8Array): boolean {
        this.text += typeof data === "string" ? data : Buffer.from(data).toString("utf8");
        return true;
    }
}

const stubConnection: ExchangeConnection = {
    isClosed: false,
    send: () => {},
    whenWritable: () => Promise.resolve(),
};

const status: EndpointStatus = {
    instance: "agent",
    pool: "engines",
    draining: false,
    weights: [],
    queuedTokens: 0,
    running: 0,
    tokensPerSecond: 0,
};

function openFields(): OpenFields {
    return {
        request: "request",
        attempt: 1,
        revision: 1,
        route: "draft",
        priority: RoutePriority.Normal,
        tokens: 1,
        deadlineMilliseconds: 1_000,
        idempotent: true,
        method: "POST",
        path: "/v1/completions",
        headers: [],
        prefixBlocks: [],
        fingerprint: "fingerprint",
        traceparent: "",
    };
}

/**
 * Clients that keep no rules of a well-behaved caller: they stop short of the end of what they announce, pipeline requests and
 * leave the responses unread.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/** How a client sends its bytes. */
export enum SendingMode {
    /** A body in one write. */
    Whole = "whole body",
    /** A body in several writes with pauses between them. */
    Pieces = "body piece by piece",
    LargeChunks = "large chunks",
    /** Chunks of one byte each. */
    TinyChunks = "chunks of one byte",
    /** Many requests at once, whose responses are not read. */
    Pipelined = "pipelined requests, responses unread",
    /** Many requests with a body of one byte at once, whose responses are not read. */
    PipelinedBodies = "pipelined requests with bodies of one byte, responses unread",
    /** A head in several writes that does not end. */
    HeadPieces = "head piece by piece",
    /** A head with many fields, and a body that stops short of its end. */
    ManyFields = "head of many fields",
    /** A chunked body with many trailer fields. */
    Trailers = "trailers",
    /** A chunked body whose chunks have extensions. */
    ChunkExtensions = "chunk extensions",
    /** A head that waits for `100 Continue`, then the body. */
    ExpectContinue = "expect: 100-continue",
    /** The begin of a TLS handshake, and bytes that belong to none. */
    SecureBytes = "bytes of TLS",
}

/** What a client does after its last byte, which is just short of the end of its request. */
export enum Ending {
    Stays = "stays",
    /** Ends its sending side. */
    Ends = "ends",
    Resets = "resets",
    /** Keeps its connection; once that is closed, it connects again and sends the same. Only in a crowd. */
    Returns = "returns",
}

/** Header fields of a client. */
export enum Identity {
    Key = "with a key",
    NoKey = "without a key",
    /** Only the field `Host`. */
    NoFields = "without the usual fields",
}

/** A group of equal clients. */
export interface UntrustedGroup {
    readonly mode: SendingMode;
    readonly identity: Identity;
    readonly ending: Ending;
    readonly clients: number;
    /** Size in bytes of what each client sends after its head, or of the head if that is all that it sends. */
    readonly bytes: number;
    readonly path: string;
    /**
     * Field of clients with a key.
     * @default the platform's field, with the key of its test configuration
     */
    readonly keyField?: string;
}

const defaultKeyField = "redwingpin-credential: key-of-a-maker";

/** Number of writes of a client that sends piece by piece, and the pause in milliseconds between them. */
const pieces = 4;
const pause = 25;

/** Time in milliseconds after which a client that can send no more, since nobody reads, counts as finished. */
const writePatience = 1_000;

const largeChunkBytes = 262_144;
const headPieceBytes = 8_192;

/** Fields of a head with many fields: just below the limit of Node.js, 2,000. */
const manyFields = 1_900;
const extensionBytes = 200;

let attempts = 0;

function fieldsOf(identity: Identity, keyField: string): string {
    attempts += 1;
    const key = identity === Identity.Key ? `${keyField}\r\n` : "";
    return identity === Identity.NoFields
        ? "host: site.example\r\n"
        : `host: site.example\r\nredwingpin-request-attempt-id: untrusted-${attempts}\r\n`
            + `redwingpin-deadline-milliseconds: 4000\r\n${key}`;
}

const repetitions = new Map<string, Buffer>();

/** A text repeated until it has at least `bytes`. Clients share the buffer: a crowd must not be short of memory itself. */
function repeated(text: string, bytes: number): Buffer {
    const key = `${bytes} ${text}`;
    const buffer = repetitions.get(key) ?? Buffer.from(text.repeat(Math.ceil(bytes / text.length)));
    repetitions.set(key, buffer);
    return buffer;
}

/** What a client sends, in the order of its writes. */
export function writesOf(group: UntrustedGroup): (string | Buffer)[] {
    const { bytes, identity, keyField = defaultKeyField, mode, path } = group;
    const head = `POST ${path} HTTP/1.1\r\n${fieldsOf(identity, keyField)}`;
    const sized = `${head}content-length: ${bytes + 1}\r\n`;
    const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
    switch (mode) {
        case SendingMode.Whole:
            return [`${sized}\r\n`, repeated("x", bytes)];
        case SendingMode.Pieces:
            return [
                `${sized}\r\n`,
                ...Array.from({ length: pieces }, () => repeated("x", bytes / pieces)),
            ];
        case SendingMode.LargeChunks: {
            const chunk = `${largeChunkBytes.toString(16)}\r\n${"x".repeat(largeChunkBytes)}\r\n`;
            return [chunked, repeated(chunk, bytes)];
        }
        case SendingMode.TinyChunks:
            return [chunked, repeated("1\r\nx\r\n", bytes)];
        case SendingMode.Pipelined: {
            const request = `GET ${path} HTTP/1.1\r\n${fieldsOf(identity, keyField)}\r\n`;
            return [Buffer.from(request.repeat(Math.ceil(bytes / request.length)))];
        }
        case SendingMode.PipelinedBodies: {
            const request = `${head}content-length: 1\r\n\r\nx`;
            return [Buffer.from(request.repeat(Math.ceil(bytes / request.length)))];
        }
        case SendingMode.ManyFields: {
            const field = "a: b\r\n";
            return [
                `${sized}${field.repeat(Math.min(manyFields, Math.ceil(bytes / field.length)))}\r\n`,
                "x",
            ];
        }
        case SendingMode.HeadPieces: {
            const field = `x-filler: ${"x".repeat(headPieceBytes)}\r\n`;
            return [head, ...Array.from({ length: Math.floor(bytes / field.length) }, () => field)];
        }
        case SendingMode.Trailers: {
            const field = "x-a: b\r\n";
            return [`${chunked}1\r\nx\r\n0\r\n`, field.repeat(Math.ceil(bytes / field.length))];
        }
        case SendingMode.ChunkExtensions:
            return [chunked, repeated(`1;extension=${"x".repeat(extensionBytes)}\r\nx\r\n`, bytes)];
        case SendingMode.ExpectContinue:
            return [`${sized}expect: 100-continue\r\n\r\n`, repeated("x", bytes)];
        case SendingMode.SecureBytes:
            return [Buffer.from("16030100050100000100", "hex"), repeated("\u0016\u0003", bytes)];
    }
}

/** Whether the clients of a group read what they receive. */
export function readsResponses({ mode }: UntrustedGroup): boolean {
    switch (mode) {
        case SendingMode.Pipelined:
        case SendingMode.PipelinedBodies:
            return false;
        case SendingMode.Whole:
        case SendingMode.Pieces:
        case SendingMode.LargeChunks:
        case SendingMode.TinyChunks:
        case SendingMode.HeadPieces:
        case SendingMode.ManyFields:
        case SendingMode.Trailers:
        case SendingMode.ChunkExtensions:
        case SendingMode.ExpectContinue:
        case SendingMode.SecureBytes:
            return true;
    }
}

/** Writes to a connection; resolves when the operating system has taken it, the connection has closed, or nobody reads. */
export function write(socket: Socket, data: string | Buffer): Promise<void> {
    return new Promise((resolve) => {
        const timer = setTimeout(resolve, writePatience);
        const end = () => {
            clearTimeout(timer);
            resolve();
        };
        if (socket.destroyed) {
            end();
            return;
        }
        socket.once("close", end);
        socket.write(data, end);
    });
}

async function runClient(port: number, host: string, group: UntrustedGroup): Promise<Socket> {
    const socket = connect(port, host);
    // Connections may be refused or reset.
    socket.on("error", () => {});
    if (readsResponses(group)) {
        socket.resume();
    }
    for (const data of writesOf(group)) {
        await write(socket, data);
        if (group.mode !== SendingMode.Whole) {
            await new Promise((resolve) => setTimeout(resolve, pause));
        }
    }
    if (group.ending === Ending.Ends) {
        socket.end();
    }
    else if (group.ending === Ending.Resets) {
        socket.resetAndDestroy();
    }
    return socket;
}

/** Runs the clients of a group at once; resolves with a function that closes their connections. */
export async function runUntrusted(port: number, host: string, group: UntrustedGroup): Promise<() => void> {
    const sockets = await Promise.all(
        Array.from({ length: group.clients }, () => runClient(port, host, group)),
    );
    return () => sockets.forEach((socket) => socket.destroy());
}

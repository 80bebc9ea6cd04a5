/**
 * Validates decoded messages, so that a malformed frame closes its sender's connection and has no other effect.
 *
 * @module
 */
import {
    findInvalidField,
    isBoolean,
    isListOf,
    isMemberOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isOptional,
    isShaped,
    isString,
    RefusalReason,
    type Shape,
    type ShapeCheck,
} from "@redwingpin/common";
import { RoutePriority } from "@redwingpin/manifest";
import { err, ok, type Result } from "neverthrow";
import { DeclineReason, type Message, MessageKind, ProcessRole, Topic } from "./messages.js";
import { type ProtocolError, protocolError, ProtocolErrorKind } from "./protocolError.js";

const text = isString;
const count = isNonNegativeInteger;
const amount = isNonNegativeNumber;
const flag = isBoolean;
const bytes: ShapeCheck = (value) => value instanceof Uint8Array;
const anyValue: ShapeCheck = () => true;
const optional = isOptional;
const listOf = (check: ShapeCheck): ShapeCheck => isListOf(check);
const memberOf = isMemberOf;
const shaped = isShaped;

const headerField = shaped({ name: text, value: text });
const weightsReference = shaped({ model: text, version: text, adapter: optional(text) });
const endpointStatus = shaped({
    instance: text,
    pool: text,
    incarnation: optional(text),
    draining: flag,
    weights: listOf(weightsReference),
    queuedTokens: amount,
    running: count,
    tokensPerSecond: amount,
});

const shapes: Readonly<Record<MessageKind, Shape>> = {
    [MessageKind.Hello]: {
        version: count,
        role: memberOf(ProcessRole),
        instance: text,
        incarnation: text,
        revision: count,
    },
    [MessageKind.Open]: {
        exchange: count,
        request: text,
        attempt: count,
        revision: count,
        route: text,
        account: optional(text),
        priority: memberOf(RoutePriority),
        tokens: amount,
        deadlineMilliseconds: amount,
        idempotent: flag,
        method: text,
        path: text,
        headers: listOf(headerField),
        bodyBytes: count,
        weights: optional(weightsReference),
        prefixBlocks: listOf(text),
        fingerprint: text,
        apart: optional(flag),
        traceparent: text,
    },
    [MessageKind.Body]: { exchange: count, data: bytes },
    [MessageKind.Cancel]: { exchange: count },
    [MessageKind.Credit]: { exchange: count, bytes: count },
    [MessageKind.Decline]: { exchange: count, reason: memberOf(DeclineReason), status: endpointStatus },
    [MessageKind.Head]: { exchange: count, status: count, headers: listOf(headerField), hitBlocks: count },
    [MessageKind.Chunk]: { exchange: count, sequence: count, data: bytes },
    [MessageKind.End]: { exchange: count, chunks: count, status: endpointStatus },
    [MessageKind.Failed]: {
        exchange: count,
        mayHaveRun: flag,
        reason: memberOf(RefusalReason),
        message: text,
        status: endpointStatus,
    },
    [MessageKind.Status]: { revision: count, status: endpointStatus },
    [MessageKind.Topic]: { topic: memberOf(Topic), call: optional(count), revision: count, body: anyValue },
    [MessageKind.TopicReply]: { call: count, revision: count, body: anyValue },
    [MessageKind.Unsupported]: { unsupportedKind: text },
};

/** A decoded frame: a message, or the kind of a message that this version does not know. */
export type DecodedFrame =
    | { readonly known: true; readonly message: Message; }
    | { readonly known: false; readonly unsupportedKind: string; };

/** Validates a decoded frame. Unknown fields are ignored, and an unknown kind is not an error. */
export function checkMessage(value: unknown): Result<DecodedFrame, ProtocolError> {
    const kind = (value as { kind?: unknown; } | undefined)?.kind;
    if (typeof kind !== "string") {
        return err(protocolError(ProtocolErrorKind.Malformed, "a frame's message has no kind"));
    }
    if (!Object.hasOwn(shapes, kind)) {
        return ok({ known: false, unsupportedKind: kind });
    }
    const missing = findInvalidField(shapes[kind as MessageKind], value);
    if (missing !== undefined) {
        const message = `field "${missing}" of a "${kind}" message is missing or malformed`;
        return err(protocolError(ProtocolErrorKind.Malformed, message));
    }
    return ok({ known: true, message: value as Message });
}

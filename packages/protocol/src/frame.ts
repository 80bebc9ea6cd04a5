/**
 * Encodes and decodes frames: a four-byte length in network byte order, followed by one message as CBOR.
 *
 * @module
 */
import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { frameHeaderBytes, maxFrameBytes } from "./constants.js";
import type { Message } from "./messages.js";
import { checkMessage, type DecodedFrame } from "./messageShape.js";
import { type ProtocolError, protocolError, ProtocolErrorKind } from "./protocolError.js";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export function encodeFrame(message: Message): Buffer {
    const payload = encoder.encode(message);
    const frame = Buffer.allocUnsafe(frameHeaderBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    payload.copy(frame, frameHeaderBytes);
    return frame;
}

/** Splits a byte stream into frames and decodes them. After an error, the rest of the stream is unreadable. */
export class FrameReader {
    private parts: Buffer[] = [];
    private bufferedBytes = 0;

    /** Appends received bytes and returns the messages that are complete now. */
    read(received: Buffer): Result<DecodedFrame[], ProtocolError> {
        this.parts.push(received);
        this.bufferedBytes += received.length;
        const messages: DecodedFrame[] = [];
        while (this.bufferedBytes >= frameHeaderBytes) {
            const length = this.peekLength();
            if (length > maxFrameBytes) {
                const message = `a frame of ${length} bytes exceeds the limit of ${maxFrameBytes}`;
                return err(protocolError(ProtocolErrorKind.Malformed, message));
            }
            if (this.bufferedBytes < frameHeaderBytes + length) {
                break;
            }
            const decoded = decodePayload(
                this.takeBytes(frameHeaderBytes + length).subarray(frameHeaderBytes),
            );
            if (decoded.isErr()) {
                return err(decoded.error);
            }
            messages.push(decoded.value);
        }
        return ok(messages);
    }

    private peekLength(): number {
        if (this.parts[0].length < frameHeaderBytes) {
            this.joinParts();
        }
        return this.parts[0].readUInt32BE(0);
    }

    private takeBytes(length: number): Buffer {
        if (this.parts[0].length < length) {
            this.joinParts();
        }
        const taken = this.parts[0].subarray(0, length);
        const rest = this.parts[0].subarray(length);
        this.parts = rest.length > 0 ? [rest, ...this.parts.slice(1)] : this.parts.slice(1);
        this.bufferedBytes -= length;
        return taken;
    }

    private joinParts(): void {
        this.parts = [Buffer.concat(this.parts)];
    }
}

function decodePayload(payload: Buffer): Result<DecodedFrame, ProtocolError> {
    try {
        return checkMessage(encoder.decode(payload));
    }
    catch (error) {
        return err(protocolError(ProtocolErrorKind.Malformed, `a frame is not valid CBOR: ${String(error)}`));
    }
}

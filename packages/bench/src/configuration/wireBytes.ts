/**
 * Computes the size of a message on the network.
 *
 * @module
 */
import { encodeFrame, MessageKind, type Topic } from "@redwingpin/protocol";

/** Overhead of one TLS 1.2 record with ChaCha20-Poly1305. */
const tlsRecordBytes = 21;

/** IPv4 and TCP headers of a segment, with the timestamp option. */
const segmentHeaderBytes = 52;

const maximumSegmentBytes = 1_448;

const sampleRevision = 47_000;
const sampleCallNumber = 100_000;

/** Returns the bytes of a topic message on the network, including headers and one acknowledgement per segment. */
export function wireBytes(topic: Topic, body: unknown, isCall: boolean): number {
    const frame = encodeFrame({
        kind: MessageKind.Topic,
        topic,
        call: isCall ? sampleCallNumber : undefined,
        revision: sampleRevision,
        body,
    });
    const content = frame.length + tlsRecordBytes;
    return content + Math.ceil(content / maximumSegmentBytes) * segmentHeaderBytes * 2;
}

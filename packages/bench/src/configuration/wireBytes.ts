/**
 * Bytes of a message on the network.
 *
 * @module
 */
import { encodeFrame, MessageKind, type Topic } from "@redwingpin/protocol";

/** Bytes of one TLS 1.2 record with ChaCha20-Poly1305 beside its content. */
const tlsRecordBytes = 21;

/** Bytes of the IPv4 and TCP headers of a segment, with time stamps. */
const segmentHeaderBytes = 52;

/** Content of one segment at most. */
const segmentContentBytes = 1_448;

const sampleRevision = 47_000;
const sampleCall = 100_000;

/** Bytes that a topic message takes on the network, headers included; an acknowledgement is counted once a segment. */
export function wireBytes(topic: Topic, body: unknown, isCall: boolean): number {
    const frame = encodeFrame({
        kind: MessageKind.Topic,
        topic,
        call: isCall ? sampleCall : undefined,
        revision: sampleRevision,
        body,
    });
    const content = frame.length + tlsRecordBytes;
    return content + Math.ceil(content / segmentContentBytes) * segmentHeaderBytes * 2;
}

/**
 * W3C trace context: taken over from the caller or made anew.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const pattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const traceIdentifierBytes = 16;
const spanIdentifierBytes = 8;

/** A trace identifier and the header that carries it inward. */
export interface TraceContext {
    readonly traceIdentifier: string;
    readonly traceparent: string;
}

/** Continues the caller's trace, or starts one where the header is absent or malformed. */
export function continueTrace(traceparent: string | undefined): TraceContext {
    const match = pattern.exec(traceparent ?? "");
    const traceIdentifier = match?.[1] ?? randomBytes(traceIdentifierBytes).toString("hex");
    const flags = match?.[3] ?? "01";
    const span = randomBytes(spanIdentifierBytes).toString("hex");
    return { traceIdentifier, traceparent: `00-${traceIdentifier}-${span}-${flags}` };
}

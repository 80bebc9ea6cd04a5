/**
 * W3C trace context: continues the caller's trace or starts a new one.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const pattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const traceIdentifierBytes = 16;
const spanIdentifierBytes = 8;

/** The trace context for the endpoint: the caller's trace, or a new one if the header is absent or malformed. */
export function continueTrace(traceparent: string | undefined): string {
    const match = pattern.exec(traceparent ?? "");
    const traceIdentifier = match?.[1] ?? randomBytes(traceIdentifierBytes).toString("hex");
    const flags = match?.[3] ?? "01";
    const span = randomBytes(spanIdentifierBytes).toString("hex");
    return `00-${traceIdentifier}-${span}-${flags}`;
}

/**
 * Reads the body of a caller's request up to the size limit.
 *
 * @module
 */
import { RefusalReason } from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { maxBodyBytes } from "../constants.js";
import { notRun, type Refusal } from "../decision/refusal.js";

/** Reads the whole body; a refusal if it is too large or incomplete. */
export async function readBody(request: IncomingMessage): Promise<Result<Buffer, Refusal>> {
    const parts: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const part of request as AsyncIterable<Buffer>) {
            bytes += part.length;
            if (bytes > maxBodyBytes) {
                return err(
                    notRun(
                        RefusalReason.BodyTooLarge,
                        `the body is larger than the limit of ${maxBodyBytes} bytes`,
                    ),
                );
            }
            parts.push(part);
        }
    }
    catch {
        return err(notRun(RefusalReason.MalformedRequest, "the body is incomplete"));
    }
    return ok(Buffer.concat(parts));
}

/**
 * Header fields of a request to an endpoint.
 *
 * @module
 */
import type { DispatchMetadata, HeaderCodec } from "../headerCodec.js";
import { endToEndHeaders } from "./answerWriter.js";
import type { DirectRequest } from "./callerRequest.js";

/** The caller's fields and those of the metadata, with the length of the buffered body. */
export function endpointHeaders(
    headerCodec: HeaderCodec,
    { body, method, rawHeaders }: DirectRequest,
    metadata: DispatchMetadata,
): string[] {
    const fields = headerCodec.endpointHeaders(endToEndHeaders(rawHeaders), metadata);
    const kept: string[] = [];
    for (let index = 0; index < fields.length; index += 2) {
        const name = fields[index].toLowerCase();
        if (name !== "content-length" && name !== "expect") {
            kept.push(fields[index], fields[index + 1]);
        }
    }
    if (body.length > 0 || (method !== "GET" && method !== "HEAD")) {
        kept.push("content-length", String(body.length));
    }
    return kept;
}

/**
 * Responses to requests that cannot be parsed.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Answers a request that cannot be parsed or did not arrive in time. */
export function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const status = clientErrorStatus(error.code);
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

function clientErrorStatus(code: string | undefined): string {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return "431 Request Header Fields Too Large";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "408 Request Timeout";
        default:
            return "400 Bad Request";
    }
}

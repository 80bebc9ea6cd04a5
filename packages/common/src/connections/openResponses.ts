/**
 * The responses of one connection that have not been sent completely.
 *
 * Node.js closes the response that is being sent when its connection closes. Those of pipelined requests behind it have no
 * connection yet and stay open, so that whoever waits for their end, or counts their memory until then, does so for ever.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** The open responses of one connection. */
export class OpenResponses {
    private readonly responses = new Set<ServerResponse>();

    /** Number of open responses. */
    get size(): number {
        return this.responses.size;
    }

    /** Adds a response until it closes; `onClosed` is called then. */
    add(response: ServerResponse, onClosed: () => void): void {
        this.responses.add(response);
        response.once("close", () => {
            this.responses.delete(response);
            onClosed();
        });
    }

    /** Closes the responses that wait for others, since the connection has closed. */
    closeWaiting(): void {
        for (const response of this.responses) {
            const isWaiting = response.socket === null && !response.writableFinished; // eslint-disable-line no-restricted-syntax -- ServerResponse states null
            if (isWaiting) {
                response.destroy();
                response.emit("close");
            }
        }
    }
}

/**
 * Watches the connection of one exchange with an endpoint: whether too much is read that is not delivered, and whether a
 * response that ends with its connection was ended or reset.
 *
 * @module
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ReadAllowance } from "./readAllowance.js";
import { TurnBudget } from "./turnBudget.js";

const turnBudget = new TurnBudget(setImmediate);

/** Notifications of a guard. */
export interface ResponseGuardListener {
    /** Too much was read that was not delivered. */
    onExcess(): void;
    /** The address has used its part of this turn of the event loop. Returns what to call in a later one, if anything. */
    onTurnEnd(): (() => void) | undefined;
}

/** Guard of one request. */
export class ResponseGuard {
    private readonly allowance = new ReadAllowance();
    private response: IncomingMessage | undefined;
    private isReset = false;

    /** `address` is that of the endpoint, to which the turns of the event loop are divided. */
    constructor(
        request: ClientRequest,
        private readonly address: string,
        private readonly listener: ResponseGuardListener,
    ) {
        request.once("socket", (socket) => {
            const onRead = (chunk: Buffer) => this.onRead(chunk.length);
            // Before the parser's own listener, which may end the exchange. `prependListener` does not start the reading.
            socket.prependListener("data", onRead);
            request.once("close", () => socket.off("data", onRead));
        });
    }

    /** Starts to watch the end of a response. */
    observeResponse(response: IncomingMessage): void {
        this.response = response;
        if (endsWithConnection(response)) {
            // Responses without a body release the connection for further exchanges, and have no socket from then on.
            const { socket } = response;
            const onConnectionEnd = () => this.checkForReset(socket);
            socket.prependOnceListener("end", onConnectionEnd);
            response.once("close", () => socket.off("end", onConnectionEnd));
        }
    }

    /** Records bytes of the body that were delivered. */
    recordDelivered(bytes: number): void {
        this.allowance.recordDelivered(bytes);
    }

    /** True if the connection of a response that ends with it was reset. */
    get wasReset(): boolean {
        return this.isReset;
    }

    private onRead(bytes: number): void {
        const hasTurn = turnBudget.spend(this.address, bytes);
        // The parser has not seen these bytes yet, so they are not judged before the next ones arrive.
        const isExceeded = this.allowance.isExceeded(this.response?.readableLength ?? 0);
        this.allowance.recordRead(bytes);
        if (isExceeded) {
            this.listener.onExcess();
        }
        else if (!hasTurn) {
            const resume = this.listener.onTurnEnd();
            if (resume !== undefined) {
                turnBudget.wait(this.address, resume);
            }
        }
    }

    /**
     * A reset that arrives together with data is reported as a normal end of the connection, and Node's client then closes the
     * socket before a pending write could fail. A socket that was reset no longer has a peer. Its port is read from the operating
     * system the first time only, so nothing else may read it earlier.
     */
    private checkForReset(socket: Socket): void {
        this.isReset = socket.remotePort === undefined;
    }
}

/** True for a response that ends with its connection. */
function endsWithConnection(response: IncomingMessage): boolean {
    return response.headers["content-length"] === undefined
        && response.headers["transfer-encoding"] === undefined;
}

/**
 * Calls to peers with a timeout.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { RateMessage } from "@redwingpin/protocol";
import type { RatePeers } from "./admissionOptions.js";

/** A call to another process. */
export interface PeerCall {
    readonly clock: Clock;
    readonly peers: RatePeers;
    readonly instance: string;
    readonly message: RateMessage;
    readonly timeout: Milliseconds;
    /** Called with an answer that arrives after the timeout. */
    readonly onLate?: (answer: RateMessage) => void;
}

/** Sends a message; resolves with its answer, or with `undefined` if none arrives in time. */
export function callPeer(call: PeerCall): Promise<RateMessage | undefined> {
    return new Promise((resolve) => {
        let isOpen = true;
        const close = (answer: RateMessage | undefined) => {
            isOpen = false;
            cancel();
            resolve(answer);
        };
        const cancel = call.clock.schedule(call.timeout, () => close(undefined));
        void call.peers.send(call.instance, call.message).then((result) => {
            const answer = result.unwrapOr(undefined);
            if (isOpen) {
                close(answer);
            }
            else if (answer !== undefined) {
                call.onLate?.(answer);
            }
        });
    });
}

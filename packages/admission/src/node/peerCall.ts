/**
 * Calls to peers that end after a time.
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
    /** Called with an answer that comes after the timeout. */
    readonly onLate?: (answer: RateMessage) => void;
}

/** Sends a message; resolves with its answer, or with `undefined` where none comes in time. */
export function callPeer(call: PeerCall): Promise<RateMessage | undefined> {
    return new Promise((resolve) => {
        let open = true;
        const close = (answer: RateMessage | undefined) => {
            open = false;
            cancel();
            resolve(answer);
        };
        const cancel = call.clock.schedule(call.timeout, () => close(undefined));
        void call.peers.send(call.instance, call.message).then((result) => {
            const answer = result.unwrapOr(undefined);
            if (open) {
                close(answer);
            }
            else if (answer !== undefined) {
                call.onLate?.(answer);
            }
        });
    });
}

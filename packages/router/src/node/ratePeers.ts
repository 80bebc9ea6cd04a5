/**
 * Sends messages on the rates topic to other routers over the inner protocol.
 *
 * @module
 */
import type { RatePeers } from "@redwingpin/admission";
import {
    type InnerAddress,
    type InnerNode,
    isRateMessage,
    type RateMessage,
    Topic,
} from "@redwingpin/protocol";
import { errAsync, okAsync } from "neverthrow";

const rateCallTimeoutMilliseconds = 1_000;

/** Creates the peers of admission; `addressOf` returns the address of an instance. */
export function createRatePeers(
    innerNode: InnerNode,
    addressOf: (instance: string) => InnerAddress | undefined,
): RatePeers {
    return {
        send(instance: string, message: RateMessage) {
            const address = addressOf(instance);
            if (address === undefined) {
                return errAsync(`instance "${instance}" is not in the VM list`);
            }
            return innerNode.call(address, Topic.Rates, message, rateCallTimeoutMilliseconds)
                .mapErr((error) => error.message)
                .andThen((body) =>
                    isRateMessage(body)
                        ? okAsync(body)
                        : errAsync(`the answer of instance "${instance}" is not a rate message`)
                );
        },
    };
}

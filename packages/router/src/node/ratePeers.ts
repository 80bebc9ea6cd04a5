/**
 * Carries messages on the rates topic between routers over the inner protocol.
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

/** Makes the peers of admission; `find` gives the address of an instance. */
export function createRatePeers(
    innerNode: InnerNode,
    find: (instance: string) => InnerAddress | undefined,
): RatePeers {
    return {
        send(instance: string, message: RateMessage) {
            const machine = find(instance);
            if (machine === undefined) {
                return errAsync(`instance "${instance}" is not in the list of VMs`);
            }
            return innerNode.call(machine, Topic.Rates, message, rateCallTimeoutMilliseconds)
                .mapErr((error) => error.message)
                .andThen((body) =>
                    isRateMessage(body)
                        ? okAsync(body)
                        : errAsync(`instance "${instance}" gave an answer that is no rate message`)
                );
        },
    };
}

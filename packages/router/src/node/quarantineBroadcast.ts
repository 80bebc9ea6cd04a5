/**
 * Sends messages on the quarantine topic to the other routers.
 *
 * @module
 */
import type { QuarantineMessage } from "@redwingpin/claims";
import { type InnerAddress, type InnerNode, Topic } from "@redwingpin/protocol";

const quarantineCallTimeoutMilliseconds = 500;

/** Creates the function that sends a message to every other router and resolves with the received answers. */
export function createQuarantineBroadcast(
    innerNode: InnerNode,
    routers: () => readonly InnerAddress[],
): (message: QuarantineMessage) => Promise<readonly unknown[]> {
    return async (message) => {
        const calls = routers().map((router) =>
            innerNode.call(router, Topic.Quarantine, message, quarantineCallTimeoutMilliseconds)
        );
        const results = await Promise.all(calls);
        return results.flatMap((result) => result.isOk() ? [result.value] : []);
    };
}

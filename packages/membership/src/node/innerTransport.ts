/**
 * Membership calls over inner connections.
 *
 * @module
 */
import { type InnerNode, Topic } from "@redwingpin/protocol";
import type { MembershipTransport } from "./membershipTask.js";

/** Creates a transport that calls members over a node's connections. */
export function createInnerTransport(node: InnerNode): MembershipTransport {
    return async (target, call, timeout) => {
        const connection = await node.connect(target);
        if (connection.isErr()) {
            return undefined;
        }
        const { instance } = connection.value.peer;
        const answer = await connection.value.call(Topic.Membership, call, timeout);
        return answer.isOk() ? { instance, body: answer.value } : undefined;
    };
}

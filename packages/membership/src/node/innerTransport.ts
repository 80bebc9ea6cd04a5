/**
 * Membership calls over the inner connections.
 *
 * @module
 */
import { type InnerNode, Topic } from "@redwingpin/protocol";
import type { MembershipTransport } from "./membershipTask.js";

/** Calls peers at their addresses. */
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

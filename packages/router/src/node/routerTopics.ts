/**
 * Sets the handlers of the topics that a router answers.
 *
 * @module
 */
import type { AdmissionController } from "@redwingpin/admission";
import type { Configuration } from "@redwingpin/configuration";
import { type InnerNode, isRateMessage, Topic } from "@redwingpin/protocol";

/** Answers a ping, so that a peer learns that this process lives. */
export function handlePings(innerNode: InnerNode): void {
    innerNode.handle(Topic.Membership, () => Promise.resolve({ kind: "pong" }));
}

/** Hands rate messages to admission; a malformed one is answered with an error. */
export function handleRates(innerNode: InnerNode, admission: AdmissionController): void {
    innerNode.handle(Topic.Rates, async (body, from) => {
        if (!isRateMessage(body)) {
            return { error: "the body is no rate message" };
        }
        return admission.handle(body, from.instance);
    });
}

/** Hands configuration messages to the configuration. */
export function handleConfiguration(innerNode: InnerNode, configuration: Configuration): void {
    innerNode.handle(Topic.Configuration, (body, from) => {
        configuration.handle(body, from.instance);
        return Promise.resolve(undefined);
    });
}

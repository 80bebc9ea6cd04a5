/**
 * Sets the handlers of the topics that a router answers.
 *
 * @module
 */
import type { AdmissionController } from "@redwingpin/admission";
import type { Claims, Quarantine } from "@redwingpin/claims";
import type { Configuration } from "@redwingpin/configuration";
import type { Membership } from "@redwingpin/membership";
import {
    type InnerNode,
    isOperatorStatusCall,
    isRateMessage,
    type OperatorStatus,
    Topic,
} from "@redwingpin/protocol";

/** Hands membership calls to membership; any other body is answered too, so that a peer learns that this process lives. */
export function handleMembership(innerNode: InnerNode, membership: Membership): void {
    innerNode.handle(Topic.Membership, async (body) => await membership.handle(body) ?? { kind: "pong" });
}

/** Answers the operator's command. */
export function handleOperators(innerNode: InnerNode, status: () => Promise<OperatorStatus>): void {
    innerNode.handle(Topic.Operator, async (body) => {
        return isOperatorStatusCall(body) ? status() : { error: "the body is no call of an operator" };
    });
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

/** Hands claim messages to the claims; a malformed one is answered with an error. */
export function handleClaims(innerNode: InnerNode, claims: Claims): void {
    innerNode.handle(Topic.Claims, async (body) => {
        return await claims.handle(body) ?? { error: "the body is no claim message" };
    });
}

/** Hands quarantine messages to the quarantine. */
export function handleQuarantine(innerNode: InnerNode, quarantine: Quarantine): void {
    innerNode.handle(Topic.Quarantine, (body) => Promise.resolve(quarantine.handle(body)));
}

/** Hands configuration messages to the configuration. */
export function handleConfiguration(innerNode: InnerNode, configuration: Configuration): void {
    innerNode.handle(Topic.Configuration, (body, from) => {
        configuration.handle(body, from.instance);
        return Promise.resolve(undefined);
    });
}

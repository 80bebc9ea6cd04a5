/**
 * Registers handlers for the topics of the inner protocol that a router answers.
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

/** Passes membership messages to membership; any other body is answered with a pong, which shows that the router is live. */
export function handleMembership(innerNode: InnerNode, membership: Membership): void {
    innerNode.handle(Topic.Membership, async (body) => await membership.handle(body) ?? { kind: "pong" });
}

/** Answers calls of the operator's command with the router's status. */
export function handleOperators(innerNode: InnerNode, status: () => Promise<OperatorStatus>): void {
    innerNode.handle(Topic.Operator, async (body) => {
        return isOperatorStatusCall(body) ? status() : { error: "the body is not an operator's call" };
    });
}

/** Passes rate messages to admission; answers any other body with an error. */
export function handleRates(innerNode: InnerNode, admission: AdmissionController): void {
    innerNode.handle(Topic.Rates, async (body, from) => {
        if (!isRateMessage(body)) {
            return { error: "the body is not a rate message" };
        }
        return admission.handle(body, from.instance);
    });
}

/** Passes claim messages to the claims; answers any other body with an error. */
export function handleClaims(innerNode: InnerNode, claims: Claims): void {
    innerNode.handle(Topic.Claims, async (body) => {
        return await claims.handle(body) ?? { error: "the body is not a claim message" };
    });
}

/** Passes quarantine messages to the quarantine. */
export function handleQuarantine(innerNode: InnerNode, quarantine: Quarantine): void {
    innerNode.handle(Topic.Quarantine, (body) => Promise.resolve(quarantine.handle(body)));
}

/** Passes configuration messages to the configuration. */
export function handleConfiguration(innerNode: InnerNode, configuration: Configuration): void {
    innerNode.handle(Topic.Configuration, (body, from) => {
        configuration.handle(body, from.instance);
        return Promise.resolve(undefined);
    });
}

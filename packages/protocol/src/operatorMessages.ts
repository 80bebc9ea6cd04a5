/**
 * Messages on {@link Topic.Operator}: what a process tells the operator's command of itself.
 *
 * @module
 */
import { createSchemaGuard } from "@redwingpin/manifest";
import { type EndpointStatus, ProcessRole } from "./messages.js";

/** Kinds of calls on the operator topic. */
export enum OperatorMessageKind {
    Status = "status",
}

/** Asks for an {@link OperatorStatus}. */
export interface OperatorStatusCall {
    readonly kind: OperatorMessageKind.Status;
}

/** Requests refused for one reason since the process started. */
export interface RefusalCount {
    readonly reason: string;
    readonly count: number;
}

/** How much of an account's rate is in use, as the process sees it. */
export interface AccountUse {
    readonly account: string;
    /** From 0 to 1 or more: tokens lately spent over tokens that the rate allows. */
    readonly usedShare: number;
}

/** What a process tells of itself. */
export interface OperatorStatus {
    readonly instance: string;
    readonly role: ProcessRole;
    readonly dataCentre: string;
    readonly revision: number;
    readonly ready: boolean;
    readonly refusals: readonly RefusalCount[];
    readonly accounts: readonly AccountUse[];
    /** Present at agents. */
    readonly endpoint?: EndpointStatus;
}

const text = { type: "string" };

/** Tells whether the body of a call on the operator topic asks for the status. */
export const isOperatorStatusCall = createSchemaGuard<OperatorStatusCall>({
    type: "object",
    required: ["kind"],
    properties: { kind: { const: OperatorMessageKind.Status } },
});

/** Tells whether the body of an answer is a status. */
export const isOperatorStatus = createSchemaGuard<OperatorStatus>({
    type: "object",
    required: ["instance", "role", "dataCentre", "revision", "ready", "refusals", "accounts"],
    properties: {
        instance: text,
        role: { enum: Object.values(ProcessRole) },
        dataCentre: text,
        revision: { type: "integer", minimum: 0 },
        ready: { type: "boolean" },
        refusals: {
            type: "array",
            items: {
                type: "object",
                required: ["reason", "count"],
                properties: { reason: text, count: { type: "number" } },
            },
        },
        accounts: {
            type: "array",
            items: {
                type: "object",
                required: ["account", "usedShare"],
                properties: { account: text, usedShare: { type: "number" } },
            },
        },
        endpoint: {
            type: "object",
            required: ["instance", "pool", "draining", "queuedTokens", "running"],
            properties: { instance: text, pool: text, draining: { type: "boolean" } },
        },
    },
});

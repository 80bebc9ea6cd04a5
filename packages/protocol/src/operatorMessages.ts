/**
 * Messages on {@link Topic.Operator}: what a process tells the operator's command of itself.
 *
 * @module
 */
import {
    isAmount,
    isCount,
    isFlag,
    isListOf,
    isMemberOf,
    isOptional,
    isShaped,
    isTagged,
    isText,
} from "@redwingpin/common";
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

/** How much of an account's rate was lately spent at one router; the sum over all routers is that of the fleet. */
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

const hasStatusShape = isShaped({
    instance: isText,
    role: isMemberOf(ProcessRole),
    dataCentre: isText,
    revision: isCount,
    ready: isFlag,
    refusals: isListOf(isShaped({ reason: isText, count: isAmount })),
    accounts: isListOf(isShaped({ account: isText, usedShare: isAmount })),
    endpoint: isOptional(
        isShaped({
            instance: isText,
            pool: isText,
            draining: isFlag,
            queuedTokens: isAmount,
            running: isCount,
        }),
    ),
});

/** Tells whether the body of a call on the operator topic asks for the status. */
export function isOperatorStatusCall(value: unknown): value is OperatorStatusCall {
    return isTagged("kind", { [OperatorMessageKind.Status]: {} })(value);
}

/** Tells whether the body of an answer is a status. */
export function isOperatorStatus(value: unknown): value is OperatorStatus {
    return hasStatusShape(value);
}

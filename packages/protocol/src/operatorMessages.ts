/**
 * Messages on {@link Topic.Operator}: the status that a process reports to the operator's command.
 *
 * @module
 */
import {
    isBoolean,
    isListOf,
    isMemberOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isOptional,
    isShaped,
    isString,
    isTagged,
} from "@redwingpin/common";
import { type EndpointStatus, ProcessRole } from "./messages.js";

/** Kinds of calls on the operator topic. */
export enum OperatorMessageKind {
    Status = "status",
}

/** Requests an {@link OperatorStatus}. */
export interface OperatorStatusCall {
    readonly kind: OperatorMessageKind.Status;
}

/** Number of requests refused for one reason since the process started. */
export interface RefusalCount {
    readonly reason: string;
    readonly count: number;
}

/** Recent use of a client account's rate at one router. The fleet's use is the sum over all routers. */
export interface AccountUse {
    readonly account: string;
    /** Recently spent tokens divided by the tokens that the rate allows; may exceed 1. */
    readonly usedShare: number;
}

/** Status of a process. */
export interface OperatorStatus {
    readonly instance: string;
    readonly role: ProcessRole;
    readonly dataCentre: string;
    /** Revision of the configuration in force; 0 for none. */
    readonly revision: number;
    /** True if the process is ready to serve. */
    readonly ready: boolean;
    readonly refusals: readonly RefusalCount[];
    readonly accounts: readonly AccountUse[];
    /** Status of the endpoint; present for agents. */
    readonly endpoint?: EndpointStatus;
}

const hasStatusShape = isShaped({
    instance: isString,
    role: isMemberOf(ProcessRole),
    dataCentre: isString,
    revision: isNonNegativeInteger,
    ready: isBoolean,
    refusals: isListOf(isShaped({ reason: isString, count: isNonNegativeNumber })),
    accounts: isListOf(isShaped({ account: isString, usedShare: isNonNegativeNumber })),
    endpoint: isOptional(
        isShaped({
            instance: isString,
            pool: isString,
            draining: isBoolean,
            queuedTokens: isNonNegativeNumber,
            running: isNonNegativeInteger,
        }),
    ),
});

/** Whether the body of a call on the operator topic is a valid status call. */
export function isOperatorStatusCall(value: unknown): value is OperatorStatusCall {
    return isTagged("kind", { [OperatorMessageKind.Status]: {} })(value);
}

/** Whether the body of an answer is a valid status. */
export function isOperatorStatus(value: unknown): value is OperatorStatus {
    return hasStatusShape(value);
}

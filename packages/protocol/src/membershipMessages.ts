/**
 * Messages on {@link Topic.Membership}. A ping is a topic call, answered by an acknowledgement. Membership updates are
 * piggybacked on both in the field `news`.
 *
 * @module
 */
import {
    isListOf,
    isMemberOf,
    isNonNegativeInteger,
    isOptional,
    isShaped,
    isTagged,
} from "@redwingpin/common";
import { ProcessRole } from "./messages.js";

/** State of a member. Within one epoch, a state takes precedence over those listed before it. */
export enum MemberState {
    Alive = "alive",
    /** Did not answer; is declared dead unless it answers in time. */
    Suspect = "suspect",
    /** Accepts no new requests and stops soon. */
    Leaving = "leaving",
    Dead = "dead",
}

/** A member as known to the sender. */
export interface MemberEntry {
    readonly instance: string;
    readonly role: ProcessRole.Router | ProcessRole.Agent;
    readonly host: string;
    /** Port of the inner protocol. */
    readonly port: number;
    readonly dataCentre: string;
    /** Pool of an agent's endpoint; absent for routers. */
    readonly pool?: string;
    /** Raised by the member itself at each start and to refute wrong entries; 0 if known from the VM list only. */
    readonly epoch: number;
    readonly state: MemberState;
}

/** Kinds of messages on the membership topic. */
export enum MembershipMessageKind {
    Ping = "ping",
    PingRequest = "pingRequest",
    Acknowledgement = "acknowledgement",
    NoAnswer = "noAnswer",
}

/** Checks that the receiver is alive. Sent by a router to a router or an agent. */
export interface MembershipPing {
    readonly kind: MembershipMessageKind.Ping;
    readonly sender: MemberEntry;
    /** The receiver's entry as known to the sender, to be refuted if it is wrong; absent if the state is alive. */
    readonly about?: MemberEntry;
    /** Membership updates. */
    readonly news: readonly MemberEntry[];
}

/** Asks the receiver to ping a member that did not answer the sender. Sent by a router to another router. */
export interface MembershipPingRequest {
    readonly kind: MembershipMessageKind.PingRequest;
    readonly sender: MemberEntry;
    /** The member to ping. */
    readonly target: MemberEntry;
    /** Membership updates. */
    readonly news: readonly MemberEntry[];
}

/** Answers a ping, or a ping request whose target answered. */
export interface MembershipAcknowledgement {
    readonly kind: MembershipMessageKind.Acknowledgement;
    /** The member that was pinged. */
    readonly member: MemberEntry;
    /** Membership updates; empty from agents. */
    readonly news: readonly MemberEntry[];
}

/** Answers a ping request whose target did not answer. */
export interface MembershipNoAnswer {
    readonly kind: MembershipMessageKind.NoAnswer;
}

/** A call on the membership topic, which expects a {@link MembershipAnswer}. */
export type MembershipCall = MembershipPing | MembershipPingRequest;

/** An answer to a {@link MembershipCall}. */
export type MembershipAnswer = MembershipAcknowledgement | MembershipNoAnswer;

const maximumUpdates = 64;
const maximumTextCharacters = 256;

const member = isShaped({
    instance: isShortText,
    role: isMemberRole,
    host: isShortText,
    port: isNonNegativeInteger,
    dataCentre: isShortText,
    pool: isOptional(isShortText),
    epoch: isNonNegativeInteger,
    state: isMemberOf(MemberState),
});

const news = isListOf(member, maximumUpdates);

const isCall = isTagged("kind", {
    [MembershipMessageKind.Ping]: { sender: member, about: isOptional(member), news },
    [MembershipMessageKind.PingRequest]: { sender: member, target: member, news },
});

const isAnswer = isTagged("kind", {
    [MembershipMessageKind.Acknowledgement]: { member, news },
    [MembershipMessageKind.NoAnswer]: {},
});

function isShortText(value: unknown): boolean {
    return typeof value === "string" && value.length <= maximumTextCharacters;
}

function isMemberRole(value: unknown): boolean {
    return value === ProcessRole.Router || value === ProcessRole.Agent;
}

/** Whether the body of a topic call is a valid membership call. */
export function isMembershipCall(value: unknown): value is MembershipCall {
    return isCall(value);
}

/** Whether the body of an answer is a valid membership answer. */
export function isMembershipAnswer(value: unknown): value is MembershipAnswer {
    return isAnswer(value);
}

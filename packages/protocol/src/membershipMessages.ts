/**
 * Messages on {@link Topic.Membership}. A ping is a topic call; its answer is an acknowledgement. News of members ride
 * on both.
 *
 * @module
 */
import { isCount, isListOf, isMemberOf, isOptional, isShaped, isTagged } from "@redwingpin/common";
import { ProcessRole } from "./messages.js";

/** State of a member. At one epoch, a later state replaces an earlier one. */
export enum MemberState {
    Alive = "alive",
    /** Gave no answer; declared dead unless it answers in time. */
    Suspect = "suspect",
    /** Takes no new work and ends soon. */
    Leaving = "leaving",
    Dead = "dead",
}

/** What is known of one member. */
export interface MemberEntry {
    readonly instance: string;
    readonly role: ProcessRole.Router | ProcessRole.Agent;
    readonly host: string;
    /** Port of the inner protocol. */
    readonly port: number;
    readonly dataCentre: string;
    /** Pool of an agent's endpoint; absent for routers. */
    readonly pool?: string;
    /** Raised by the member itself, at each start and to contradict what others say of it; 0 if known from the list alone. */
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

/** Asks whether the receiver lives. */
export interface MembershipPing {
    readonly kind: MembershipMessageKind.Ping;
    readonly sender: MemberEntry;
    /** What the sender believes of the receiver, which contradicts it where it is wrong; absent for a live member. */
    readonly about?: MemberEntry;
    readonly news: readonly MemberEntry[];
}

/** Asks the receiver to ping another member that gave the sender no answer. */
export interface MembershipPingRequest {
    readonly kind: MembershipMessageKind.PingRequest;
    readonly sender: MemberEntry;
    readonly target: MemberEntry;
    readonly news: readonly MemberEntry[];
}

/** Answers a ping, or a ping request whose target answered. */
export interface MembershipAcknowledgement {
    readonly kind: MembershipMessageKind.Acknowledgement;
    /** The member that was pinged. */
    readonly member: MemberEntry;
    readonly news: readonly MemberEntry[];
}

/** Answers a ping request whose target gave no answer. */
export interface MembershipNoAnswer {
    readonly kind: MembershipMessageKind.NoAnswer;
}

/** A message that calls for an answer. */
export type MembershipCall = MembershipPing | MembershipPingRequest;

/** An answer. */
export type MembershipAnswer = MembershipAcknowledgement | MembershipNoAnswer;

const maximumNews = 64;
const maximumTextCharacters = 256;

const member = isShaped({
    instance: isShortText,
    role: isMemberRole,
    host: isShortText,
    port: isCount,
    dataCentre: isShortText,
    pool: isOptional(isShortText),
    epoch: isCount,
    state: isMemberOf(MemberState),
});

const news = isListOf(member, maximumNews);

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

/** Tells whether the body of a topic call is a call of this topic. */
export function isMembershipCall(value: unknown): value is MembershipCall {
    return isCall(value);
}

/** Tells whether the body of an answer is an answer of this topic. */
export function isMembershipAnswer(value: unknown): value is MembershipAnswer {
    return isAnswer(value);
}

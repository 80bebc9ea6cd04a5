/**
 * Messages on {@link Topic.Membership}. A ping is a topic call; its answer is an acknowledgement. News of members ride
 * on both.
 *
 * @module
 */
import { createSchemaGuard, type JsonSchema } from "@redwingpin/manifest";
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

const text = { type: "string", minLength: 1, maxLength: 256 };
const maximumPort = 65_535;
const maximumNews = 64;

const entry: JsonSchema = {
    type: "object",
    required: ["instance", "role", "host", "port", "dataCentre", "epoch", "state"],
    properties: {
        instance: text,
        role: { enum: [ProcessRole.Router, ProcessRole.Agent] },
        host: text,
        port: { type: "integer", minimum: 0, maximum: maximumPort },
        dataCentre: text,
        pool: text,
        epoch: { type: "integer", minimum: 0, maximum: Number.MAX_SAFE_INTEGER },
        state: { enum: Object.values(MemberState) },
    },
};

const news = { type: "array", maxItems: maximumNews, items: entry };

function messageSchema(
    kind: MembershipMessageKind,
    fields: Readonly<Record<string, JsonSchema>>,
): JsonSchema {
    return {
        type: "object",
        required: ["kind", ...Object.keys(fields)],
        properties: { kind: { const: kind }, ...fields },
    };
}

/** Tells whether the body of a topic call is a call of this topic. */
export const isMembershipCall = createSchemaGuard<MembershipCall>({
    oneOf: [
        {
            ...messageSchema(MembershipMessageKind.Ping, { sender: entry, news }),
            properties: {
                kind: { const: MembershipMessageKind.Ping },
                sender: entry,
                about: entry,
                news,
            },
        },
        messageSchema(MembershipMessageKind.PingRequest, { sender: entry, target: entry, news }),
    ],
});

/** Tells whether the body of an answer is an answer of this topic. */
export const isMembershipAnswer = createSchemaGuard<MembershipAnswer>({
    oneOf: [
        messageSchema(MembershipMessageKind.Acknowledgement, { member: entry, news }),
        messageSchema(MembershipMessageKind.NoAnswer, {}),
    ],
});

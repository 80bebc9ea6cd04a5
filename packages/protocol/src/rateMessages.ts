/**
 * Bodies of messages on {@link Topic.Rates}, by which routers share the tokens of client accounts.
 *
 * @module
 */

/** Kinds of messages on the rates topic. */
export enum RateMessageKind {
    Ask = "ask",
    Grant = "grant",
    Return = "return",
    Acknowledge = "acknowledge",
    RosterRequest = "rosterRequest",
    Roster = "roster",
}

/** Asks a router that holds a share of the account's tokens to debit some. Answered by {@link RateGrant}. */
export interface RateAsk {
    readonly kind: RateMessageKind.Ask;
    /** Identifier of the grant, never reused; a repeated request is granted no tokens. */
    readonly id: string;
    /** Name of the client account. */
    readonly account: string;
    /** Number of tokens requested; the holder may grant fewer. */
    readonly tokens: number;
    /** Epoch of the sender's roster. */
    readonly epoch: number;
}

/** Tokens that the holder has debited. The requesting router may spend them only until its own deadline has passed. */
export interface RateGrant {
    readonly kind: RateMessageKind.Grant;
    /** Identifier from the {@link RateAsk}. */
    readonly id: string;
    /** Number of tokens granted, from 0 to the requested number. */
    readonly tokens: number;
    /** Number of tokens that the holder has left. */
    readonly leftTokens: number;
    /** Time until the holder expects to have the missing tokens; absent if it never will, or if none are missing. */
    readonly retryAfterMilliseconds?: number;
    /** Rate and burst of the account in the manifest with which the holder decided; 0 if the account is unknown. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    /** Epoch of the holder's roster. */
    readonly epoch: number;
}

/** Returns unspent tokens of a grant to the holder. Takes effect at most once per grant. */
export interface RateReturn {
    readonly kind: RateMessageKind.Return;
    readonly id: string;
    readonly account: string;
    /** Number of tokens returned. */
    readonly tokens: number;
}

/** Confirms the receipt of a message that has no other answer. */
export interface RateAcknowledge {
    readonly kind: RateMessageKind.Acknowledge;
}

/** Requests the receiver's roster. Answered by {@link RateRoster}. */
export interface RateRosterRequest {
    readonly kind: RateMessageKind.RosterRequest;
}

/** The epoch of the sender's roster, with the roster itself if the receiver may lack it. */
export interface RateRoster {
    readonly kind: RateMessageKind.Roster;
    readonly epoch: number;
    /** The roster as encoded in its store record. */
    readonly text?: string;
}

/** Every message on the rates topic. */
export type RateMessage = RateAsk | RateGrant | RateReturn | RateAcknowledge | RateRosterRequest | RateRoster;

/** Whether the body of a message is a valid rate message. */
export function isRateMessage(body: unknown): body is RateMessage {
    if (typeof body !== "object" || !body) {
        return false;
    }
    const message = body as Partial<Record<string, unknown>>;
    switch (message["kind"]) {
        case RateMessageKind.Ask:
            return hasString(message, "id") && hasString(message, "account")
                && hasNonNegativeInteger(message, "tokens");
        case RateMessageKind.Grant:
            return hasString(message, "id") && hasNonNegativeInteger(message, "tokens")
                && hasNonNegativeInteger(message, "leftTokens")
                && hasNonNegativeInteger(message, "tokensPerSecond")
                && hasNonNegativeInteger(message, "burstTokens");
        case RateMessageKind.Return:
            return hasString(message, "id") && hasString(message, "account")
                && hasNonNegativeInteger(message, "tokens");
        case RateMessageKind.Roster:
            return hasNonNegativeInteger(message, "epoch");
        case RateMessageKind.Acknowledge:
        case RateMessageKind.RosterRequest:
            return true;
        default:
            return false;
    }
}

function hasString(message: Partial<Record<string, unknown>>, field: string): boolean {
    return typeof message[field] === "string";
}

function hasNonNegativeInteger(message: Partial<Record<string, unknown>>, field: string): boolean {
    const value = message[field];
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

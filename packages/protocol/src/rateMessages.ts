/**
 * Bodies of messages on {@link Topic.Rates}: how routers share the tokens of client accounts.
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

/** Asks a holder to debit up to `tokens` from its share of the account. Answered by {@link RateGrant}. */
export interface RateAsk {
    readonly kind: RateMessageKind.Ask;
    /** Identifier of the grant, never used twice; a repeated ask is granted nothing. */
    readonly id: string;
    readonly account: string;
    /** Tokens wanted; the holder may grant fewer. */
    readonly tokens: number;
    /** Epoch of the asker's roster. */
    readonly epoch: number;
}

/** Tokens that the holder has debited. The asker may spend them only until its own deadline has passed. */
export interface RateGrant {
    readonly kind: RateMessageKind.Grant;
    readonly id: string;
    /** Tokens granted, from 0 up to those asked for. */
    readonly tokens: number;
    /** Tokens that the holder has left. */
    readonly leftTokens: number;
    /** Milliseconds until the holder expects to have what is missing; absent where it never will. */
    readonly retryAfterMilliseconds?: number;
    /** Rate and burst of the account in the manifest that the holder decided by. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    /** Epoch of the holder's roster. */
    readonly epoch: number;
}

/** Gives back tokens of a grant that were not spent. Takes effect at most once a grant. */
export interface RateReturn {
    readonly kind: RateMessageKind.Return;
    readonly id: string;
    readonly account: string;
    readonly tokens: number;
}

/** Answers a message that needs no other answer. */
export interface RateAcknowledge {
    readonly kind: RateMessageKind.Acknowledge;
}

/** Asks for the sender's roster. Answered by {@link RateRoster}. */
export interface RateRosterRequest {
    readonly kind: RateMessageKind.RosterRequest;
}

/** The epoch of the roster that the sender knows, and the roster where the receiver may lack it. */
export interface RateRoster {
    readonly kind: RateMessageKind.Roster;
    readonly epoch: number;
    /** The roster as its store record holds it. */
    readonly text?: string;
}

/** Every message on the rates topic. */
export type RateMessage = RateAsk | RateGrant | RateReturn | RateAcknowledge | RateRosterRequest | RateRoster;

/** True where `body` has the shape of a rate message. */
export function isRateMessage(body: unknown): body is RateMessage {
    if (typeof body !== "object" || !body) {
        return false;
    }
    const message = body as Partial<Record<string, unknown>>;
    switch (message["kind"]) {
        case RateMessageKind.Ask:
            return isText(message, "id") && isText(message, "account") && isCount(message, "tokens");
        case RateMessageKind.Grant:
            return isText(message, "id") && isCount(message, "tokens") && isCount(message, "leftTokens")
                && isCount(message, "tokensPerSecond") && isCount(message, "burstTokens");
        case RateMessageKind.Return:
            return isText(message, "id") && isText(message, "account") && isCount(message, "tokens");
        case RateMessageKind.Roster:
            return isCount(message, "epoch");
        case RateMessageKind.Acknowledge:
        case RateMessageKind.RosterRequest:
            return true;
        default:
            return false;
    }
}

function isText(message: Partial<Record<string, unknown>>, field: string): boolean {
    return typeof message[field] === "string";
}

function isCount(message: Partial<Record<string, unknown>>, field: string): boolean {
    const value = message[field];
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

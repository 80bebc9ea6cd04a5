/**
 * What the router gives to admission and gets from it.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds, RefusalReason } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import type { KeyValueStore } from "@redwingpin/outside";
import type { RateMessage } from "@redwingpin/protocol";
import type { Result, ResultAsync } from "neverthrow";
import type { RouterMember } from "../decision/roster.js";

/** Sends messages on the rates topic to other processes. */
export interface RatePeers {
    /** Resolves with the answer, or with an error as soon as none can come. It may also stay open. */
    send(instance: string, message: RateMessage): ResultAsync<RateMessage, string>;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    readonly clock: Clock;
    /** Name of this router; no other VM ever bears it. */
    readonly instance: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly store: KeyValueStore;
    readonly peers: RatePeers;
    /** Accounts of the manifest in force; a new list for each revision. */
    readonly accounts: () => readonly ClientAccount[];
    readonly logger: Logger;
    /**
     * Agents that can keep the roster; each answers the rates topic with a `RosterCache`. A router uses a few.
     * @default none
     */
    readonly rosterAgents?: () => readonly string[];
    /**
     * Longest time for which a request waits for tokens before it is refused. Longer just after the start.
     * @default maximumWaitMilliseconds
     */
    readonly maximumWait?: Milliseconds;
    /**
     * Into how many slots accounts are divided; the same in the whole fleet.
     * @default slotsPerAccount
     */
    readonly slots?: number;
}

/** Tokens debited for one request. */
export interface Reservation {
    /** Tokens that the request may spend. */
    readonly tokens: number;
    /** Ends the reservation with the tokens spent in fact; what was not spent goes back. Has effect once. */
    settle(actualTokens: number): void;
}

/** Why a request gets no tokens. */
export interface AdmissionRefusal {
    readonly reason: RefusalReason;
    /** When the caller may try again with some prospect; absent where it never has any. */
    readonly retryAfterMilliseconds?: Milliseconds;
    readonly message: string;
}

/** Admission of one router. */
export interface AdmissionController {
    /** Debits `tokens` of the account, the most that the request can spend. May wait a short time for them. */
    admit(account: ClientAccount, tokens: number): Promise<Result<Reservation, AdmissionRefusal>>;
    /** Answers a message on the rates topic. */
    handle(message: RateMessage, from: string): Promise<RateMessage>;
    /** To be called after every reading of the VM list, whether it has changed or not. */
    membersChanged(members: readonly RouterMember[]): void;
    /** To be called at once when another manifest is in force. */
    accountsChanged(): void;
    /** True once a roster of slots is known. */
    rosterKnown(): boolean;
    /** True once every slot of the fleet has a holder; before, accounts can not spend their whole rate. */
    settled(): boolean;
    /**
     * Gives up this router's slots for good where the VM list shows that its VM leaves. A process that only starts
     * again keeps them, since it may find itself in an old roster. True where the store shows them given up.
     */
    leave(): Promise<boolean>;
    /** Ends the task. What waits is refused. */
    stop(): void;
}

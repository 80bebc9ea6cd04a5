/**
 * Interface between the router and admission.
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
    /** Resolves with the answer, or with an error once it is certain that none will come. May never resolve. */
    send(instance: string, message: RateMessage): ResultAsync<RateMessage, string>;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    readonly clock: Clock;
    /** Name of this router; no other VM ever has it. */
    readonly instance: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly store: KeyValueStore;
    readonly peers: RatePeers;
    /** Accounts of the manifest in force; returns a new list for each revision. */
    readonly accounts: () => readonly ClientAccount[];
    readonly logger: Logger;
    /**
     * Agents that can cache the roster; each answers the rates topic with a `RosterCache`. A router uses a few of them.
     * @default none
     */
    readonly rosterAgents?: () => readonly string[];
    /**
     * Maximum time for which a request waits for tokens before it is refused. Extended just after the start.
     * @default maximumWaitMilliseconds
     */
    readonly maximumWait?: Milliseconds;
    /**
     * Number of slots of each account; the same in the whole fleet.
     * @default slotsPerAccount
     */
    readonly slots?: number;
}

/** Tokens debited for one request. */
export interface Reservation {
    /** Tokens that the request may spend. */
    readonly tokens: number;
    /** Ends the reservation with the tokens that were spent, and refunds the rest. Only the first call has an effect. */
    settle(actualTokens: number): void;
}

/** Why a request gets no tokens. */
export interface AdmissionRefusal {
    readonly reason: RefusalReason;
    /** Delay after which a retry may succeed; absent if none ever can. */
    readonly retryAfterMilliseconds?: Milliseconds;
    readonly message: string;
}

/** Admission of one router. */
export interface AdmissionController {
    /**
     * Debits `tokens` from the account, the maximum that the request can spend. May wait for them for a limited time.
     */
    admit(account: ClientAccount, tokens: number): Promise<Result<Reservation, AdmissionRefusal>>;
    /** Answers a message on the rates topic. */
    handle(message: RateMessage, from: string): Promise<RateMessage>;
    /** Must be called each time that the VM list has been read, whether it has changed or not. */
    updateMembers(members: readonly RouterMember[]): void;
    /** Must be called as soon as another manifest is in force. */
    accountsChanged(): void;
    /** True once a roster of slots is known. */
    isRosterKnown(): boolean;
    /** True once every slot of the fleet has a holder; before that, accounts can't spend their full rate. */
    isRosterComplete(): boolean;
    /**
     * Releases this router's slots for good if the VM list shows that its VM is leaving. A process that only restarts
     * keeps them, because it may find itself in an old roster. Resolves to true if the store shows them released.
     */
    leave(): Promise<boolean>;
    /** Stops the task and refuses the waiting requests. */
    stop(): void;
}

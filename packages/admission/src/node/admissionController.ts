/**
 * The admission task of a router: owns its slots and its waiting requests, requests tokens from other holders and
 * grants tokens to them.
 *
 * @module
 */
import { type Milliseconds, RefusalReason, runDecision } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { type RateAsk, type RateMessage, RateMessageKind, type RateReturn } from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";
import {
    grantUseMilliseconds,
    maximumWaitMilliseconds,
    startupMaximumWaitMilliseconds,
    startupPeriodMilliseconds,
} from "../constants.js";
import { HolderSelector } from "../decision/holderSelector.js";
import type { RouterMember } from "../decision/roster.js";
import { SlotHolder } from "../decision/slotHolder.js";
import {
    type AcquireEffect,
    type AcquireEvent,
    acquireOnce,
    type AcquireOutcome,
    acquireWaiting,
    type HeldGrant,
    isUsable,
    type TokenRequest,
} from "../decision/tokenAcquisition.js";
import { AccountQueue } from "./accountQueue.js";
import type {
    AdmissionController,
    AdmissionOptions,
    AdmissionRefusal,
    Reservation,
} from "./admissionOptions.js";
import { callPeer } from "./peerCall.js";
import { RosterRepairTask } from "./rosterRepairTask.js";

/** Starts the admission task of a router. */
export function createAdmission(options: AdmissionOptions): AdmissionController {
    const task = new AdmissionTask(options);
    task.start();
    return task;
}

/** A request that is acquiring its tokens. */
interface PendingRequest extends TokenRequest {
    readonly id: string;
    readonly accountName: string;
}

class AdmissionTask implements AdmissionController {
    private readonly holder: SlotHolder;
    private readonly holderSelector: HolderSelector;
    private readonly rosterTask: RosterRepairTask;
    private readonly queues = new Map<string, AccountQueue>();
    private knownAccounts: readonly ClientAccount[] | undefined;
    private accountsByName: ReadonlyMap<string, ClientAccount> = new Map();
    private readonly startedAt: Milliseconds;
    private lastIdentifier = 0;
    private stopped = false;

    constructor(private readonly options: AdmissionOptions) {
        this.startedAt = options.clock.now();
        this.holder = new SlotHolder(options.instance, options.slots);
        this.holderSelector = new HolderSelector(options.instance, options.slots);
        this.rosterTask = new RosterRepairTask({
            ...options,
            agents: options.rosterAgents ?? (() => []),
            logger: options.logger.scope("roster"),
            onRoster: (roster) => this.holder.rosterChanged(roster, this.now()),
        });
    }

    start(): void {
        this.accountsChanged();
        this.rosterTask.start();
    }

    async admit(account: ClientAccount, tokens: number): Promise<Result<Reservation, AdmissionRefusal>> {
        this.refreshAccounts();
        const reserved = Math.max(0, Math.ceil(tokens));
        if (this.stopped) {
            return err(refusal(RefusalReason.Stopping, `router ${this.options.instance} is stopping`));
        }
        if (reserved > account.burstTokens) {
            const message =
                `request of ${reserved} tokens exceeds the burst of ${account.burstTokens} tokens of `
                + `account "${account.name}"`;
            return err(refusal(RefusalReason.RequestExceedsBurst, message));
        }
        const request = this.pendingRequest(account, reserved);
        const outcome = await this.acquire(request, account);
        return outcome.admitted
            ? ok(this.reservation(request, outcome.grants))
            : err(rateRefusal(account, reserved, outcome.retryAfter));
    }

    async handle(message: RateMessage, from: string): Promise<RateMessage> {
        this.refreshAccounts();
        switch (message.kind) {
            case RateMessageKind.Ask:
                void this.rosterTask.fetchIfNewer(from, message.epoch);
                return this.grantTokens(message);
            case RateMessageKind.Return:
                this.handleReturn(message);
                return { kind: RateMessageKind.Acknowledge };
            case RateMessageKind.RosterRequest:
                return this.rosterTask.message();
            case RateMessageKind.Roster:
                this.rosterTask.adoptMessage(message);
                return this.rosterTask.message();
            case RateMessageKind.Grant:
            case RateMessageKind.Acknowledge:
                return { kind: RateMessageKind.Acknowledge };
        }
    }

    updateMembers(members: readonly RouterMember[]): void {
        this.rosterTask.updateMembers(members);
    }

    accountsChanged(): void {
        this.refreshAccounts();
    }

    isRosterKnown(): boolean {
        return this.rosterTask.current !== undefined;
    }

    isRosterComplete(): boolean {
        return this.rosterTask.current?.holders.every((holder) => holder !== undefined) ?? false;
    }

    async leave(): Promise<boolean> {
        if (!this.rosterTask.isVmLeaving) {
            return false;
        }
        this.holder.releaseAll();
        return await this.rosterTask.release();
    }

    stop(): void {
        this.stopped = true;
        this.rosterTask.stop();
        for (const queue of this.queues.values()) {
            queue.stop();
        }
    }

    private now(): Milliseconds {
        return this.options.clock.now();
    }

    private pendingRequest(account: ClientAccount, tokens: number): PendingRequest {
        return {
            id: this.nextIdentifier(),
            accountName: account.name,
            tokens,
            deadline: this.now() + this.maximumWait(),
            tokensPerSecond: account.tokensPerSecond,
        };
    }

    private maximumWait(): Milliseconds {
        const isStarting = this.now() - this.startedAt < startupPeriodMilliseconds;
        const configured = this.options.maximumWait ?? maximumWaitMilliseconds;
        return isStarting ? Math.max(configured, startupMaximumWaitMilliseconds) : configured;
    }

    private async acquire(request: PendingRequest, account: ClientAccount): Promise<AcquireOutcome> {
        const queue = this.queueOf(account.name);
        if (queue.isEmpty) {
            const outcome = await this.run(acquireOnce(request), request);
            if (outcome.admitted) {
                return outcome;
            }
        }
        const wait = (queue.tokens + request.tokens) * 1000 / Math.max(1, account.tokensPerSecond);
        if (this.now() + wait > request.deadline) {
            return { admitted: false, retryAfter: wait };
        }
        return await queue.enqueue(request.tokens, () => this.run(acquireWaiting(request), request));
    }

    private run(decision: ReturnType<typeof acquireOnce>, request: PendingRequest): Promise<AcquireOutcome> {
        return runDecision(decision, (effect) => this.perform(effect, request));
    }

    private perform(effect: AcquireEffect, request: PendingRequest): Promise<AcquireEvent> | AcquireEvent {
        switch (effect.kind) {
            case "inspect":
                return this.inspect(request);
            case "ask":
                return this.requestTokens(effect.holder, effect.tokens, request);
            case "commit":
                return this.commit(effect.grants, request);
            case "returnGrants":
                for (const grant of effect.grants) {
                    this.returnTokens(grant, grant.tokens, request.accountName);
                }
                return { kind: "done" };
            case "pause":
                return new Promise((resolve) => {
                    this.options.clock.schedule(effect.duration, () => resolve({ kind: "done" }));
                });
        }
    }

    private inspect(request: PendingRequest): AcquireEvent {
        const now = this.now();
        const account = this.accountOf(request.accountName);
        return {
            kind: "view",
            now,
            ownTokens: account === undefined ? 0 : this.holder.tokens(account, now),
            ownBurst: account === undefined ? 0 : this.holder.burstTokens(account),
            holders: account === undefined
                ? []
                : this.holderSelector.candidates(this.rosterTask.current, account, now),
        };
    }

    private commit(grants: readonly HeldGrant[], request: PendingRequest): AcquireEvent {
        const now = this.now();
        const account = this.accountOf(request.accountName);
        if (account === undefined || this.stopped) {
            return { kind: "committed", admitted: false, missing: request.tokens };
        }
        const usable = grants.filter((grant) => isUsable(grant, account, now));
        const granted = usable.reduce((sum, grant) => sum + grant.tokens, 0);
        const missing = Math.max(0, request.tokens - granted);
        const areAllUsable = usable.length === grants.length;
        if (areAllUsable && this.holder.spend(request.id, account, missing, now)) {
            return { kind: "committed", admitted: true, missing: 0 };
        }
        return { kind: "committed", admitted: false, missing: missing - this.holder.tokens(account, now) };
    }

    private async requestTokens(
        holder: string,
        tokens: number,
        request: PendingRequest,
    ): Promise<AcquireEvent> {
        const requestedAt = this.now();
        const id = this.nextIdentifier();
        const message: RateAsk = {
            kind: RateMessageKind.Ask,
            id,
            account: request.accountName,
            tokens,
            epoch: this.rosterTask.current?.epoch ?? 0,
        };
        const usableUntil = requestedAt + grantUseMilliseconds;
        const answer = await callPeer({
            clock: this.options.clock,
            peers: this.options.peers,
            instance: holder,
            message,
            timeout: grantUseMilliseconds,
            onLate: (late) =>
                this.returnLate(this.readGrant(holder, message, late, usableUntil), message.account),
        });
        if (answer === undefined) {
            this.holderSelector.recordTimeout(holder, this.now());
            return { kind: "answer", grant: undefined };
        }
        return { kind: "answer", grant: this.readGrant(holder, message, answer, usableUntil) };
    }

    private returnLate(grant: HeldGrant | undefined, account: string): void {
        if (grant !== undefined) {
            this.returnTokens(grant, grant.tokens, account);
        }
    }

    private readGrant(
        holder: string,
        ask: RateAsk,
        answer: RateMessage,
        usableUntil: Milliseconds,
    ): HeldGrant | undefined {
        if (answer.kind !== RateMessageKind.Grant || answer.id !== ask.id || answer.tokens > ask.tokens) {
            return undefined;
        }
        void this.rosterTask.fetchIfNewer(holder, answer.epoch);
        const isShort = answer.tokens < ask.tokens;
        const retryAfter = isShort ? answer.retryAfterMilliseconds ?? Infinity : undefined;
        this.holderSelector.recordAnswer(
            holder,
            ask.account,
            { leftTokens: answer.leftTokens, retryAfter },
            this.now(),
        );
        return {
            holder,
            id: ask.id,
            tokens: answer.tokens,
            usableUntil,
            tokensPerSecond: answer.tokensPerSecond,
            burstTokens: answer.burstTokens,
        };
    }

    private grantTokens(ask: RateAsk): RateMessage {
        const account = this.accountOf(ask.account);
        const granted = account === undefined || this.stopped
            ? { tokens: 0, leftTokens: 0, retryAfter: undefined }
            : this.holder.grant(
                ask.id,
                account,
                ask.tokens,
                this.now(),
                this.queueOf(account.name).firstTokens,
            );
        return {
            kind: RateMessageKind.Grant,
            id: ask.id,
            tokens: granted.tokens,
            leftTokens: granted.leftTokens,
            retryAfterMilliseconds: granted.retryAfter,
            tokensPerSecond: account?.tokensPerSecond ?? 0,
            burstTokens: account?.burstTokens ?? 0,
            epoch: this.rosterTask.current?.epoch ?? 0,
        };
    }

    private handleReturn(message: RateReturn): void {
        const account = this.accountOf(message.account);
        if (account !== undefined) {
            this.holder.refund(message.id, account, message.tokens, this.now());
        }
    }

    private returnTokens(grant: HeldGrant, tokens: number, account: string): void {
        void this.options.peers.send(grant.holder, {
            kind: RateMessageKind.Return,
            id: grant.id,
            account,
            tokens,
        });
    }

    private reservation(request: PendingRequest, grants: readonly HeldGrant[]): Reservation {
        let isOpen = true;
        return {
            tokens: request.tokens,
            settle: (actualTokens) => {
                if (isOpen) {
                    isOpen = false;
                    this.settle(request, grants, Math.max(0, request.tokens - Math.ceil(actualTokens)));
                }
            },
        };
    }

    private settle(request: PendingRequest, grants: readonly HeldGrant[], unspent: number): void {
        this.refreshAccounts();
        const account = this.accountOf(request.accountName);
        if (account === undefined) {
            return;
        }
        const granted = grants.reduce((sum, grant) => sum + grant.tokens, 0);
        const ownUnspent = Math.min(unspent, request.tokens - granted);
        this.holder.refund(request.id, account, ownUnspent, this.now());
        let left = unspent - ownUnspent;
        for (const grant of grants) {
            const tokens = Math.min(left, grant.tokens);
            left -= tokens;
            if (tokens > 0) {
                this.returnTokens(grant, tokens, request.accountName);
            }
        }
    }

    private accountOf(name: string): ClientAccount | undefined {
        this.refreshAccounts();
        return this.accountsByName.get(name);
    }

    private refreshAccounts(): void {
        const accounts = this.options.accounts();
        if (accounts !== this.knownAccounts) {
            this.knownAccounts = accounts;
            this.accountsByName = new Map(accounts.map((account) => [account.name, account]));
            this.holder.accountsChanged(accounts, this.now());
        }
    }

    private queueOf(name: string): AccountQueue {
        const queue = this.queues.get(name) ?? new AccountQueue();
        this.queues.set(name, queue);
        return queue;
    }

    private nextIdentifier(): string {
        this.lastIdentifier += 1;
        return `${this.options.instance}/${this.options.incarnation}/${this.lastIdentifier.toString(36)}`;
    }
}

function refusal(
    reason: RefusalReason,
    message: string,
    retryAfterMilliseconds?: Milliseconds,
): AdmissionRefusal {
    return { reason, message, retryAfterMilliseconds };
}

function rateRefusal(account: ClientAccount, tokens: number, retryAfter: Milliseconds): AdmissionRefusal {
    const message =
        `request of ${tokens} tokens exceeds the rate of ${account.tokensPerSecond} tokens a second of `
        + `account "${account.name}"`;
    return refusal(
        RefusalReason.RateExceeded,
        message,
        Number.isFinite(retryAfter) ? Math.ceil(retryAfter) : undefined,
    );
}

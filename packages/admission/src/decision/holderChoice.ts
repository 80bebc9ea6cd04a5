/**
 * Which other holders a router asks for tokens of an account, and which it leaves alone for a while.
 *
 * The fullest holder is asked first: a bucket that stands full loses its refill. Among equals each router has an order
 * of its own, so that routers that know nothing yet spread their asks.
 *
 * @module
 */
import { type Milliseconds, rendezvousOrder } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import {
    maximumShortPauseMilliseconds,
    maximumSilencePauseMilliseconds,
    minimumPauseMilliseconds,
    silencePauseMilliseconds,
    slotsPerAccount,
} from "../constants.js";
import { type AccountHolder, holdersOf, type Roster } from "./roster.js";
import { type SlotLimits, slotLimits } from "./tokenShare.js";

interface Silence {
    readonly until: Milliseconds;
    readonly pause: Milliseconds;
}

/** What a holder said of an account. */
interface Statement {
    readonly leftTokens: number;
    readonly at: Milliseconds;
    /** Time until which the holder is short. */
    readonly shortUntil: Milliseconds;
}

/** A holder that may be asked. */
export interface Candidate {
    readonly holder: string;
    /** Tokens that it is thought to have, as a part of the burst of its slots. */
    readonly fullness: number;
}

/** Remembers how holders answered. */
export class HolderChoice {
    private readonly silences = new Map<string, Silence>();
    /** Last statement of each holder, by account. */
    private readonly statements = new Map<string, Map<string, Statement>>();

    constructor(
        private readonly instance: string,
        private readonly slots: number = slotsPerAccount,
    ) {}

    /** Other holders of the account that are worth asking, the fullest first. */
    candidates(roster: Roster | undefined, account: ClientAccount, now: Milliseconds): Candidate[] {
        if (roster === undefined) {
            return [];
        }
        const others = holdersOf(roster, account.name, this.slots)
            .filter(({ instance }) =>
                instance !== this.instance && this.worthAsking(instance, account.name, now)
            );
        return rendezvousOrder(`${this.instance}/${account.name}`, others, (holder) => holder.instance)
            .map((holder) => ({ holder: holder.instance, fullness: this.fullnessOf(holder, account, now) }))
            .sort((left, right) => right.fullness - left.fullness);
    }

    /** The holder did not answer in time. */
    wasSilent(holder: string, now: Milliseconds): void {
        const previous = this.silences.get(holder);
        const pause = Math.min(
            maximumSilencePauseMilliseconds,
            previous === undefined ? silencePauseMilliseconds : previous.pause * 2,
        );
        if (previous === undefined || previous.until <= now) {
            this.silences.set(holder, { until: now + pause, pause });
        }
    }

    /** The holder answered; `retryAfter` is set where it gave fewer tokens than were asked for. */
    answered(
        holder: string,
        account: string,
        answer: { readonly leftTokens: number; readonly retryAfter?: Milliseconds; },
        now: Milliseconds,
    ): void {
        this.silences.delete(holder);
        const { leftTokens, retryAfter } = answer;
        const pause = retryAfter === undefined
            ? 0
            : Math.min(maximumShortPauseMilliseconds, Math.max(minimumPauseMilliseconds, retryAfter));
        const statements = this.statements.get(account) ?? new Map<string, Statement>();
        this.statements.set(account, statements);
        statements.set(holder, { leftTokens, at: now, shortUntil: now + pause });
    }

    private worthAsking(holder: string, account: string, now: Milliseconds): boolean {
        const silentUntil = this.silences.get(holder)?.until ?? -Infinity;
        const shortUntil = this.statements.get(account)?.get(holder)?.shortUntil ?? -Infinity;
        return silentUntil <= now && shortUntil <= now;
    }

    /** A holder that has said nothing yet is thought to be full. */
    private fullnessOf(holder: AccountHolder, account: ClientAccount, now: Milliseconds): number {
        const limits = sumOf(holder.slots.map((index) => slotLimits(account, index, this.slots)));
        const statement = this.statements.get(account.name)?.get(holder.instance);
        if (statement === undefined || limits.burstTokens === 0) {
            return 1;
        }
        const refill = (now - statement.at) * limits.tokensPerSecond / 1000;
        return Math.min(1, (statement.leftTokens + refill) / limits.burstTokens);
    }
}

function sumOf(all: readonly SlotLimits[]): SlotLimits {
    return {
        tokensPerSecond: all.reduce((sum, limits) => sum + limits.tokensPerSecond, 0),
        burstTokens: all.reduce((sum, limits) => sum + limits.burstTokens, 0),
    };
}

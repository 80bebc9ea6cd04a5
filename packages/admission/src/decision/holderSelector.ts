/**
 * Selects the other holders from which a router requests tokens of an account, and backs off from those that are
 * unresponsive or short of tokens.
 *
 * The fullest holder comes first, because a full bucket loses its refill. Holders of equal fullness are ordered
 * differently at each router, so that routers without any answers yet distribute their requests.
 *
 * @module
 */
import { type Milliseconds, rendezvousOrder } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import {
    maximumShortageBackoffMilliseconds,
    maximumUnresponsiveBackoffMilliseconds,
    minimumRetryDelayMilliseconds,
    slotsPerAccount,
    unresponsiveBackoffMilliseconds,
} from "../constants.js";
import { type AccountHolder, holdersOf, type Roster } from "./roster.js";
import { type SlotLimits, slotLimits } from "./tokenShare.js";

/** Backoff after timeouts of a holder. */
interface Backoff {
    readonly until: Milliseconds;
    readonly delay: Milliseconds;
}

/** The last answer of a holder for one account. */
interface LastAnswer {
    readonly leftTokens: number;
    readonly at: Milliseconds;
    /** Time until which the holder is expected to be short of tokens. */
    readonly shortUntil: Milliseconds;
}

/** A holder from which tokens may be requested. */
export interface Candidate {
    readonly holder: string;
    /** Estimate of its tokens, as a fraction of the burst of its slots. */
    readonly fullness: number;
}

/** Selects holders by their recorded answers and timeouts. */
export class HolderSelector {
    private readonly backoffs = new Map<string, Backoff>();
    /** Last answer of each holder, by account name and instance. */
    private readonly answers = new Map<string, Map<string, LastAnswer>>();

    constructor(
        private readonly instance: string,
        private readonly slots: number = slotsPerAccount,
    ) {}

    /** Other holders of the account that are not in a backoff, the fullest first. */
    candidates(roster: Roster | undefined, account: ClientAccount, now: Milliseconds): Candidate[] {
        if (roster === undefined) {
            return [];
        }
        const others = holdersOf(roster, account.name, this.slots)
            .filter(({ instance }) =>
                instance !== this.instance && this.isAvailable(instance, account.name, now)
            );
        return rendezvousOrder(`${this.instance}/${account.name}`, others, (holder) => holder.instance)
            .map((holder) => ({
                holder: holder.instance,
                fullness: this.estimateFullness(holder, account, now),
            }))
            .sort((left, right) => right.fullness - left.fullness);
    }

    /** Records a timeout of the holder; starts a backoff twice as long as the last one, unless one is active. */
    recordTimeout(holder: string, now: Milliseconds): void {
        const previous = this.backoffs.get(holder);
        const delay = Math.min(
            maximumUnresponsiveBackoffMilliseconds,
            previous === undefined ? unresponsiveBackoffMilliseconds : previous.delay * 2,
        );
        if (previous === undefined || previous.until <= now) {
            this.backoffs.set(holder, { until: now + delay, delay });
        }
    }

    /** Records an answer; `retryAfter` is set if the holder granted fewer tokens than were requested. */
    recordAnswer(
        holder: string,
        account: string,
        answer: { readonly leftTokens: number; readonly retryAfter?: Milliseconds; },
        now: Milliseconds,
    ): void {
        this.backoffs.delete(holder);
        const { leftTokens, retryAfter } = answer;
        const delay = retryAfter === undefined
            ? 0
            : Math.min(
                maximumShortageBackoffMilliseconds,
                Math.max(minimumRetryDelayMilliseconds, retryAfter),
            );
        const byHolder = this.answers.get(account) ?? new Map<string, LastAnswer>();
        this.answers.set(account, byHolder);
        byHolder.set(holder, { leftTokens, at: now, shortUntil: now + delay });
    }

    private isAvailable(holder: string, account: string, now: Milliseconds): boolean {
        const unresponsiveUntil = this.backoffs.get(holder)?.until ?? -Infinity;
        const shortUntil = this.answers.get(account)?.get(holder)?.shortUntil ?? -Infinity;
        return unresponsiveUntil <= now && shortUntil <= now;
    }

    /** A holder that has not answered yet is assumed to be full. */
    private estimateFullness(holder: AccountHolder, account: ClientAccount, now: Milliseconds): number {
        const limits = sumOf(holder.slots.map((index) => slotLimits(account, index, this.slots)));
        const lastAnswer = this.answers.get(account.name)?.get(holder.instance);
        if (lastAnswer === undefined || limits.burstTokens === 0) {
            return 1;
        }
        const refill = (now - lastAnswer.at) * limits.tokensPerSecond / 1000;
        return Math.min(1, (lastAnswer.leftTokens + refill) / limits.burstTokens);
    }
}

function sumOf(all: readonly SlotLimits[]): SlotLimits {
    return {
        tokensPerSecond: all.reduce((sum, limits) => sum + limits.tokensPerSecond, 0),
        burstTokens: all.reduce((sum, limits) => sum + limits.burstTokens, 0),
    };
}

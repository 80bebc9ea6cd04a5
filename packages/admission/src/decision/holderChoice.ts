/**
 * Which other holders a router asks for tokens of an account, and which it leaves alone for a while.
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
} from "../constants.js";
import { holdersOf, type Roster } from "./roster.js";
import { defaultDivision, slotCount, type SlotDivision } from "./tokenShare.js";

interface Silence {
    readonly until: Milliseconds;
    readonly pause: Milliseconds;
}

/** Remembers how holders answered. */
export class HolderChoice {
    private readonly silences = new Map<string, Silence>();
    /** For each account, the time until which each holder is short of its tokens. */
    private readonly shortUntil = new Map<string, Map<string, Milliseconds>>();

    constructor(
        private readonly instance: string,
        private readonly division: SlotDivision = defaultDivision,
    ) {}

    /** Other holders of the account that are worth asking, in the order of asking. */
    candidates(roster: Roster | undefined, account: ClientAccount, now: Milliseconds): string[] {
        if (roster === undefined) {
            return [];
        }
        const holders = holdersOf(roster, account.name, slotCount(account, this.division))
            .map((holder) => holder.instance)
            .filter((holder) => holder !== this.instance && this.worthAsking(holder, account.name, now));
        return rendezvousOrder(`${this.instance}/${account.name}`, holders, (holder) => holder);
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
    answered(holder: string, account: string, now: Milliseconds, retryAfter?: Milliseconds): void {
        this.silences.delete(holder);
        const shortages = this.shortUntil.get(account) ?? new Map<string, Milliseconds>();
        if (retryAfter === undefined) {
            shortages.delete(holder);
        }
        else {
            const pause = Math.min(
                maximumShortPauseMilliseconds,
                Math.max(minimumPauseMilliseconds, retryAfter),
            );
            shortages.set(holder, now + pause);
        }
        if (shortages.size === 0) {
            this.shortUntil.delete(account);
        }
        else {
            this.shortUntil.set(account, shortages);
        }
    }

    private worthAsking(holder: string, account: string, now: Milliseconds): boolean {
        const silentUntil = this.silences.get(holder)?.until ?? -Infinity;
        const shortUntil = this.shortUntil.get(account)?.get(holder) ?? -Infinity;
        return silentUntil <= now && shortUntil <= now;
    }
}

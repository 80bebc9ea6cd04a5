/**
 * How much of their rates the accounts have lately spent at this router, for operators.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ManifestIndex } from "@redwingpin/manifest";
import type { AccountUse } from "@redwingpin/protocol";

/** Length of one period over which tokens are summed; the last full one is reported. */
export const usagePeriod: Milliseconds = 10_000;

const millisecondsPerSecond = 1_000;

/** Sums the tokens of each account over periods. */
export class AccountUsage {
    private start: Milliseconds = 0;
    private current = new Map<string, number>();
    private last: ReadonlyMap<string, number> = new Map();

    /** Records tokens that a request of an account has spent. */
    record(account: string, tokens: number, now: Milliseconds): void {
        this.turn(now);
        this.current.set(account, (this.current.get(account) ?? 0) + tokens);
    }

    /** Part of each account's rate that was spent here in the last full period; accounts that spent nothing are left out. */
    shares(index: ManifestIndex | undefined, now: Milliseconds): AccountUse[] {
        this.turn(now);
        return [...this.last].flatMap(([name, tokens]) => {
            const account = index?.account(name);
            const allowed = (account?.tokensPerSecond ?? 0) * usagePeriod / millisecondsPerSecond;
            return allowed > 0 ? [{ account: name, usedShare: tokens / allowed }] : [];
        });
    }

    private turn(now: Milliseconds): void {
        const elapsed = now - this.start;
        if (elapsed < usagePeriod) {
            return;
        }
        this.last = elapsed < 2 * usagePeriod ? this.current : new Map();
        this.current = new Map();
        this.start = now - elapsed % usagePeriod;
    }
}

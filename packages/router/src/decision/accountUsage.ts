/**
 * Share of their rates that the accounts have recently spent at this router, for operators.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ManifestIndex } from "@redwingpin/manifest";
import type { AccountUse } from "@redwingpin/protocol";

/** Duration of one period over which tokens are summed; the last full one is reported. */
export const usagePeriod: Milliseconds = 10_000;

const millisecondsPerSecond = 1_000;

/** Sums the tokens of each account per period. */
export class AccountUsage {
    private periodStart: Milliseconds = 0;
    private currentTokens = new Map<string, number>();
    private previousTokens: ReadonlyMap<string, number> = new Map();

    /** Records the tokens that a request of an account has spent. */
    record(account: string, tokens: number, now: Milliseconds): void {
        this.startPeriod(now);
        this.currentTokens.set(account, (this.currentTokens.get(account) ?? 0) + tokens);
    }

    /** Share of each account's rate that was spent here in the last full period; without accounts that spent nothing. */
    shares(index: ManifestIndex | undefined, now: Milliseconds): AccountUse[] {
        this.startPeriod(now);
        return [...this.previousTokens].flatMap(([name, tokens]) => {
            const account = index?.account(name);
            const allowed = (account?.tokensPerSecond ?? 0) * usagePeriod / millisecondsPerSecond;
            return allowed > 0 ? [{ account: name, usedShare: tokens / allowed }] : [];
        });
    }

    private startPeriod(now: Milliseconds): void {
        const elapsed = now - this.periodStart;
        if (elapsed < usagePeriod) {
            return;
        }
        this.previousTokens = elapsed < 2 * usagePeriod ? this.currentTokens : new Map();
        this.currentTokens = new Map();
        this.periodStart = now - elapsed % usagePeriod;
    }
}

/**
 * Relays the spending of other routers: two routers that cannot reach each other, but can both reach a third one, learn
 * from it what the other has spent.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AccountSpending, RelayedSpending } from "@redwingpin/fleet";

/** The spending of a router is not relayed if its last report is older than this. */
const relayLifetime: Milliseconds = 12_000;

interface KnownRouter {
    readonly incarnation: string;
    readonly startedAt: Milliseconds;
    readonly reportedAt: Milliseconds;
    /** Names of the routers from which it receives no reports. */
    readonly missing: readonly string[];
}

/** The routers that send reports to this one, by name. */
export class SpendingRelay {
    private readonly routers = new Map<string, KnownRouter>();

    /**
     * Records a report: the incarnation of its sender, the time since the sender's start, and the names of the routers
     * from which the sender receives no reports.
     */
    recordReport(
        name: string,
        sender: {
            readonly incarnation: string;
            readonly age: Milliseconds;
            readonly missing: readonly string[];
        },
        now: Milliseconds,
    ): void {
        const { age, incarnation, missing } = sender;
        this.routers.set(name, { incarnation, startedAt: now - age, reportedAt: now, missing });
    }

    /** Spending of the routers from which the given router receives no reports. */
    spendingFor(
        incarnation: string | undefined,
        spentBy: (incarnation: string) => AccountSpending[],
        now: Milliseconds,
    ): RelayedSpending[] {
        return (this.find(incarnation)?.missing ?? []).flatMap((name) => {
            const router = this.routers.get(name);
            if (router === undefined || now - router.reportedAt > relayLifetime) {
                this.routers.delete(name);
                return [];
            }
            const age = now - router.startedAt;
            return [{ incarnation: router.incarnation, age, spent: spentBy(router.incarnation) }];
        });
    }

    /** Time since a router's start; 0 if it is unknown. */
    ageOf(incarnation: string, now: Milliseconds): Milliseconds {
        return now - (this.find(incarnation)?.startedAt ?? now);
    }

    private find(incarnation: string | undefined): KnownRouter | undefined {
        return [...this.routers.values()].find((router) => router.incarnation === incarnation);
    }
}

/**
 * What to tell a router of others that it does not hear: two routers that are cut off from each other, but not from a
 * third, learn from that one what the other has spent.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AccountSpending, RelayedSpending } from "@redwingpin/fleet";

/** A router that was not heard for this time is not told of any more. */
const relayedFor: Milliseconds = 12_000;

interface HeardRouter {
    readonly incarnation: string;
    readonly startedAt: Milliseconds;
    readonly at: Milliseconds;
    /** Names of the routers that it misses. */
    readonly missing: readonly string[];
}

/** The routers that this one hears, by name, and whom they miss. */
export class SpendingRelay {
    private readonly routers = new Map<string, HeardRouter>();

    /** Notes a report: the start of the router that sent it, that start's age, and the names of routers it misses. */
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
        this.routers.set(name, { incarnation, startedAt: now - age, at: now, missing });
    }

    /** What a router lacks of those that it misses. */
    spendingFor(
        incarnation: string | undefined,
        spentBy: (incarnation: string) => AccountSpending[],
        now: Milliseconds,
    ): RelayedSpending[] {
        return (this.find(incarnation)?.missing ?? []).flatMap((name) => {
            const router = this.routers.get(name);
            if (router === undefined || now - router.at > relayedFor) {
                this.routers.delete(name);
                return [];
            }
            const age = now - router.startedAt;
            return [{ incarnation: router.incarnation, age, spent: spentBy(router.incarnation) }];
        });
    }
    /** Time since a router's start; 0 where it is not known. */
    ageOf(incarnation: string, now: Milliseconds): Milliseconds {
        return now - (this.find(incarnation)?.startedAt ?? now);
    }

    private find(incarnation: string | undefined): HeardRouter | undefined {
        return [...this.routers.values()].find((router) => router.incarnation === incarnation);
    }
}

/**
 * Which routers follow the endpoints' registrations in the store. Calls to the store do not grow with the fleet: a few
 * routers follow, and the rest hears of changes in the exchanges. Each router decides for itself, by a rank that all
 * work out alike and by how lately those before it had an answer of the store.
 *
 * @module
 */
import { type Clock, type Milliseconds, rendezvousScore } from "@redwingpin/common";

/** Routers that follow; two of them may fall silent at once, which their peers notice only after a while. */
const followers = 3;

/** A router counts as following while its last answer is younger: longer than the wait of one call. */
const followingFor: Milliseconds = 4_000;

/** The routers that follow, as this one sees it. Routers are named by their address. */
export class WatcherSelection {
    private readonly answeredAt = new Map<string, Milliseconds>();
    private readonly ranks = new Map<string, number>();

    constructor(private readonly own: string, private readonly clock: Clock) {}

    /** Notes what a router says: the time since the store last answered it; `undefined` where it does not follow. */
    observe(router: string, age: Milliseconds | undefined): void {
        if (age === undefined) {
            this.answeredAt.delete(router);
            this.ranks.delete(router);
        }
        else {
            this.answeredAt.set(router, this.clock.now() - age);
        }
    }

    /** True where this router should follow; `live` are the others that are in touch. */
    isSelected(live: readonly string[]): boolean {
        const since = this.clock.now() - followingFor;
        const rank = this.rankOf(this.own);
        const before = live.filter((router) =>
            (this.answeredAt.get(router) ?? -Infinity) > since && this.rankOf(router) > rank
        );
        return before.length < followers;
    }

    private rankOf(router: string): number {
        let rank = this.ranks.get(router);
        if (rank === undefined) {
            rank = rendezvousScore("followers", router);
            this.ranks.set(router, rank);
        }
        return rank;
    }
}

/**
 * Selects the routers that watch the endpoints' registrations in the store. A few routers watch and the others receive
 * changes in the exchanges, so that calls to the store do not grow with the fleet. Each router decides for itself, by a
 * rank that all of them compute alike and by how recently the store answered those of higher rank.
 *
 * If the store stops answering all of them, another router begins to watch before its knowledge of the endpoints is too
 * old. Routers relay the latest answer that they know of, since exchanges with each watcher are rare in a large fleet.
 *
 * Every router watches operators' records. The selected ones renew their watches often, so that the fleet notices in
 * time if open connections to the store are lost without an error; the others learn what they missed from them.
 *
 * @module
 */
import { type Clock, type Milliseconds, rendezvousScore } from "@redwingpin/common";

/** Number of routers that watch; two of them may fail at the same time, which their peers detect only after a while. */
const watcherCount = 3;

/**
 * A router relies on the watchers for this time after the last answer of the store to any of them. Requests may reach an
 * endpoint for two seconds after the store knows that it leaves; a call to the store is part of that time.
 */
const maxAnswerAge: Milliseconds = 1_600;

/** Routers of lower rank wait longer by this, so that few begin to watch at the same time. */
const rankDelay: Milliseconds = 25;

const maxRankDelay: Milliseconds = 1_000;

/** Maximum number of routers whose answers are remembered. */
const maxRememberedAnswers = 16;

/** A router counts as watching for this time after the store last answered it; one call to the store is shorter. */
const watcherLiveTime: Milliseconds = 4_000;

/**
 * Maximum wait of a watch at a selected router. With the time limit of a call, a retry and a peer's fetch, changes reach all
 * routers within three seconds after their connections to the store are lost.
 */
export const selectedWatchWait: Milliseconds = 1_000;

/** Maximum wait of a watch at any other router. */
export const otherWatchWait: Milliseconds = 3_000;

/** An answer of the store to a router that watches it. */
export interface WatcherAnswer {
    /** Address of the router, as `host:port`. */
    readonly router: string;
    /** Increases with each answer to the router since its start. */
    readonly number: number;
    /** Milliseconds since the answer. */
    readonly age: number;
}

interface KnownAnswer {
    readonly number: number;
    readonly at: Milliseconds;
}

/** Decides whether this router watches the store. Routers are identified by their address. */
export class WatcherSelection {
    private readonly answeredAt = new Map<string, Milliseconds>();
    /** The last known answer to each router, including this one. */
    private readonly answers = new Map<string, KnownAnswer>();
    private ownAnswers = 0;
    private readonly ranks = new Map<string, number>();

    constructor(private readonly own: string, private readonly clock: Clock) {}

    /** Records the time since the store last answered a router; `undefined` if that router does not watch. */
    observe(router: string, age: Milliseconds | undefined): void {
        if (age === undefined) {
            this.answeredAt.delete(router);
            this.ranks.delete(router);
        }
        else {
            this.answeredAt.set(router, this.clock.now() - age);
        }
    }

    /** Records that the store has answered this router. */
    recordOwnAnswer(): void {
        this.ownAnswers += 1;
        this.setAnswer(this.own, { number: this.ownAnswers, at: this.clock.now() });
    }

    /** Records an answer to any router, as reported by `sender`. */
    observeAnswer({ age, number, router }: WatcherAnswer, sender: string): void {
        const at = this.clock.now() - age;
        const known = this.answers.get(router);
        // Each relay makes an answer look younger by its latency, so an answer that is known is not taken again. The number
        // of a router that has restarted is lower than before.
        const isNew = known === undefined || number > known.number
            || (sender === router && number !== known.number);
        if (router !== this.own && isNew && at > (known?.at ?? -Infinity)) {
            this.setAnswer(router, { number, at });
        }
    }

    /** The latest answer that this router knows of. */
    latestAnswer(): WatcherAnswer | undefined {
        let latest: (KnownAnswer & { readonly router: string; }) | undefined;
        for (const [router, answer] of this.answers) {
            if (latest === undefined || answer.at > latest.at) {
                latest = { router, ...answer };
            }
        }
        return latest && { router: latest.router, number: latest.number, age: this.clock.now() - latest.at };
    }

    /** True if this router should watch; `live` are the other live routers. */
    isSelected(live: readonly string[]): boolean {
        const now = this.clock.now();
        const rank = this.rankOf(this.own);
        const higher = live.filter((router) => this.rankOf(router) > rank);
        if (higher.length < watcherCount) {
            return true;
        }
        const delay = Math.min(maxRankDelay, (higher.length - watcherCount) * rankDelay);
        const preferred = higher.filter((router) =>
            now - this.lastAnswerOf(router) < watcherLiveTime + delay
        );
        return preferred.length < watcherCount || now - this.lastAnswerToOthers() > maxAnswerAge + delay;
    }

    /** Maximum wait of this router's next watch. */
    watchWait(live: readonly string[]): Milliseconds {
        return this.isSelected(live) ? selectedWatchWait : otherWatchWait;
    }

    private lastAnswerOf(router: string): Milliseconds {
        return Math.max(this.answeredAt.get(router) ?? -Infinity, this.answers.get(router)?.at ?? -Infinity);
    }

    private lastAnswerToOthers(): Milliseconds {
        const relayed = [...this.answers].map(([router, { at }]) => router === this.own ? -Infinity : at);
        return Math.max(...relayed, ...this.answeredAt.values());
    }

    private setAnswer(router: string, answer: KnownAnswer): void {
        this.answers.delete(router);
        this.answers.set(router, answer);
        if (this.answers.size > maxRememberedAnswers) {
            this.answers.delete(this.answers.keys().next().value!);
        }
    }

    private rankOf(router: string): number {
        let rank = this.ranks.get(router);
        if (rank === undefined) {
            // "followers" is part of the rank: routers of all versions must compute the same ranks.
            rank = rendezvousScore("followers", router);
            this.ranks.set(router, rank);
        }
        return rank;
    }
}

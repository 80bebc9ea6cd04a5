/**
 * Which agents a router looks after: pings them and keeps their configuration up to date. Each agent has one such
 * router, by rendezvous over the live routers of its data centre, or over all where its data centre has none.
 *
 * @module
 */
import { rendezvousScore } from "@redwingpin/common";
import type { MemberEntry } from "@redwingpin/protocol";

/** Chooses agents; scores are kept, since a change of one router must not cost a hash for every pair. */
export class HomeAgents {
    private readonly scores = new Map<string, Map<string, number>>();

    /** Agents that `self` looks after among the live routers, itself included. */
    choose(
        self: MemberEntry,
        routers: readonly MemberEntry[],
        agents: readonly MemberEntry[],
    ): MemberEntry[] {
        const byDataCentre = new Map<string, MemberEntry[]>();
        for (const router of routers) {
            const list = byDataCentre.get(router.dataCentre) ?? [];
            byDataCentre.set(router.dataCentre, [...list, router]);
        }
        this.forgetOthers(agents);
        return agents.filter((agent) =>
            this.isHome(self, agent, byDataCentre.get(agent.dataCentre) ?? routers)
        );
    }

    private isHome(self: MemberEntry, agent: MemberEntry, candidates: readonly MemberEntry[]): boolean {
        if (!candidates.some((router) => router.instance === self.instance)) {
            return false;
        }
        const own = this.score(agent.instance, self.instance);
        return candidates.every((router) =>
            router.instance === self.instance || this.score(agent.instance, router.instance) < own
        );
    }

    private score(agent: string, router: string): number {
        const scores = this.scores.get(agent) ?? new Map<string, number>();
        this.scores.set(agent, scores);
        const known = scores.get(router);
        if (known !== undefined) {
            return known;
        }
        const score = rendezvousScore(agent, router);
        scores.set(router, score);
        return score;
    }

    private forgetOthers(agents: readonly MemberEntry[]): void {
        if (this.scores.size <= agents.length) {
            return;
        }
        const present = new Set(agents.map((agent) => agent.instance));
        for (const agent of this.scores.keys()) {
            if (!present.has(agent)) {
                this.scores.delete(agent);
            }
        }
    }
}

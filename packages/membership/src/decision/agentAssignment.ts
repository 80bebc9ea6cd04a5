/**
 * Which agents a router looks after: pings them and keeps their configuration up to date. Each agent has one such
 * router, by rendezvous over the live routers of its data centre, or over all where its data centre has none.
 *
 * @module
 */
import { rendezvousScore } from "@redwingpin/common";
import type { MemberEntry } from "@redwingpin/protocol";

/** Routers that keep a connection to one agent, so that two ways lead to it and it can pass on news between them. */
export const routersPerAgent = 2;

/** The agents of one router. */
export interface AssignedAgents {
    /** Agents that this router alone pings and keeps up to date. */
    readonly home: readonly MemberEntry[];
    /** Agents that this router keeps a connection to; the home ones included. */
    readonly kept: readonly MemberEntry[];
}

/** Chooses agents; scores are kept, since a change of one router must not cost a hash for every pair. */
export class AgentAssignment {
    private readonly scores = new Map<string, Map<string, number>>();

    /** Agents that `self` looks after among the live routers, itself included. */
    choose(
        self: MemberEntry,
        routers: readonly MemberEntry[],
        agents: readonly MemberEntry[],
    ): AssignedAgents {
        const byDataCentre = new Map<string, MemberEntry[]>();
        for (const router of routers) {
            const list = byDataCentre.get(router.dataCentre) ?? [];
            byDataCentre.set(router.dataCentre, [...list, router]);
        }
        this.forgetOthers(agents);
        const ranked = agents.map((agent) => {
            const candidates = byDataCentre.get(agent.dataCentre) ?? routers;
            return { agent, rank: this.rank(self, agent, candidates) };
        });
        return {
            home: ranked.filter(({ rank }) => rank === 0).map(({ agent }) => agent),
            kept: ranked.filter(({ rank }) => rank < routersPerAgent).map(({ agent }) => agent),
        };
    }

    /** How many candidates come before `self`; without end where it is no candidate. */
    private rank(self: MemberEntry, agent: MemberEntry, candidates: readonly MemberEntry[]): number {
        if (!candidates.some((router) => router.instance === self.instance)) {
            return Infinity;
        }
        const own = this.score(agent.instance, self.instance);
        return candidates.filter((router) => this.score(agent.instance, router.instance) > own).length;
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

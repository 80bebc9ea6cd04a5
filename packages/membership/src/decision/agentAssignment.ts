/**
 * Assigns agents to routers. An agent's owner is the router that pings it and keeps its configuration up to date. It is
 * selected by rendezvous hashing over the live routers of the agent's data centre, or over all routers if its data
 * centre has none.
 *
 * @module
 */
import { rendezvousScore } from "@redwingpin/common";
import type { MemberEntry } from "@redwingpin/protocol";

/**
 * Number of routers that keep a connection to an agent. With two, the agent stays reachable if one of them fails, and
 * relays facts between them.
 */
export const routersPerAgent = 2;

/** Agents that are assigned to one router. */
export interface AssignedAgents {
    /** Agents that this router owns. */
    readonly owned: readonly MemberEntry[];
    /** Agents that this router keeps a connection to, including the owned ones. */
    readonly connected: readonly MemberEntry[];
}

/** Assigns agents to one router. Scores are cached, so that a change of one router does not rehash every pair. */
export class AgentAssignment {
    private readonly scores = new Map<string, Map<string, number>>();

    /** Computes the agents assigned to `self`; `routers` are the live routers, including `self`. */
    assign(
        self: MemberEntry,
        routers: readonly MemberEntry[],
        agents: readonly MemberEntry[],
    ): AssignedAgents {
        const byDataCentre = new Map<string, MemberEntry[]>();
        for (const router of routers) {
            const known = byDataCentre.get(router.dataCentre) ?? [];
            byDataCentre.set(router.dataCentre, [...known, router]);
        }
        this.removeAbsentAgents(agents);
        const ranked = agents.map((agent) => {
            const candidates = byDataCentre.get(agent.dataCentre) ?? routers;
            return { agent, rank: this.rank(self, agent, candidates) };
        });
        return {
            owned: ranked.filter(({ rank }) => rank === 0).map(({ agent }) => agent),
            connected: ranked.filter(({ rank }) => rank < routersPerAgent).map(({ agent }) => agent),
        };
    }

    /** Number of candidates that rank before `self`; infinite if `self` is not a candidate. */
    private rank(self: MemberEntry, agent: MemberEntry, candidates: readonly MemberEntry[]): number {
        if (!candidates.some((router) => router.instance === self.instance)) {
            return Infinity;
        }
        const ownScore = this.score(agent.instance, self.instance);
        return candidates.filter((router) => this.score(agent.instance, router.instance) > ownScore).length;
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

    private removeAbsentAgents(agents: readonly MemberEntry[]): void {
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

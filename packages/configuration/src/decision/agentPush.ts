/**
 * Passes news on to the agents that a router keeps up to date, one at a time: what an agent has missed meanwhile goes
 * in one message, and the bytes a second do not grow with the number of changes beyond their own size.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { SpreadAgent } from "./replicaEvents.js";

/** Time between two messages to agents, while one of them is behind. */
export const agentPushSpacing: Milliseconds = 250;

/** Shortest and longest time between two announcements to agents, as anti-entropy, while all have been told. */
export const minimumProbeSpacing: Milliseconds = 250;
export const maximumProbeSpacing: Milliseconds = 1_000;

/** Part of the time between two announcements that each agent adds: a round of few agents is short. */
const probeSpacingPerAgent: Milliseconds = 25;

/** An agent to send to and the revision that it is known to have. */
export interface PushTarget {
    readonly agent: string;
    readonly revision: number;
}

/** Takes turns among the agents. */
export class AgentPush {
    private readonly known = new Map<string, number>();
    private readonly home = new Set<string>();
    private turns: string[] = [];
    private lastSentAt: Milliseconds | undefined;

    /** Takes in the agents; those that are new are taken to have nothing. */
    setAgents(agents: readonly SpreadAgent[]): void {
        this.turns = agents.map((agent) => agent.instance);
        const names = new Set(this.turns);
        for (const agent of [...this.known.keys()].filter((name) => !names.has(name))) {
            this.known.delete(agent);
        }
        this.home.clear();
        for (const agent of agents.filter((other) => other.isHome)) {
            this.home.add(agent.instance);
        }
    }

    /** Notes the revision that a message of an agent carried. */
    observe(agent: string, revision: number): void {
        if (this.home.has(agent)) {
            this.known.set(agent, revision);
        }
    }

    /** The agent whose turn it is, if a message is due: a home agent that is behind, or, more seldom, any. */
    due(revision: number, now: Milliseconds): PushTarget | undefined {
        const elapsed = now - (this.lastSentAt ?? -Infinity);
        if (elapsed < agentPushSpacing || revision === 0) {
            return undefined;
        }
        const behind = this.turns.findIndex((agent) =>
            this.home.has(agent) && this.knownRevision(agent) < revision
        );
        if (behind < 0 && elapsed < this.probeSpacing()) {
            return undefined;
        }
        const [agent] = this.turns.splice(Math.max(0, behind), 1);
        if (agent === undefined) {
            return undefined;
        }
        this.turns.push(agent);
        this.lastSentAt = now;
        const target = { agent, revision: behind < 0 ? revision : this.knownRevision(agent) };
        this.observe(agent, revision);
        return target;
    }

    private knownRevision(agent: string): number {
        return this.known.get(agent) ?? 0;
    }

    private probeSpacing(): Milliseconds {
        const spacing = this.turns.length * probeSpacingPerAgent;
        return Math.min(maximumProbeSpacing, Math.max(minimumProbeSpacing, spacing));
    }
}

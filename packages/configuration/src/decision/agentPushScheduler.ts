/**
 * Schedules updates to the agents that a router owns, one agent at a time. All changes that an agent has missed go in
 * one message, so the bytes sent per second grow with the size of the changes but not with their number.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AgentPeer } from "./replicaEvents.js";

/** Interval between messages to agents while one of them is behind. */
export const agentPushInterval: Milliseconds = 250;

/** Bounds of the interval between announcements to agents, as anti-entropy, while none of them is behind. */
export const minimumAgentAntiEntropyInterval: Milliseconds = 250;
export const maximumAgentAntiEntropyInterval: Milliseconds = 1_000;

/** Time that each agent adds to this interval, so that a round over few agents is short. */
const antiEntropyIntervalPerAgent: Milliseconds = 25;

/** An agent to send to, with the revision that it is known to have. */
export interface PushTarget {
    readonly agent: string;
    readonly revision: number;
}

/** Selects agents in rotation. */
export class AgentPushScheduler {
    private readonly knownRevisions = new Map<string, number>();
    private readonly ownedAgents = new Set<string>();
    private rotation: string[] = [];
    private lastSentAt: Milliseconds | undefined;

    /** Replaces the list of agents; new ones are assumed to have no configuration. */
    setAgents(agents: readonly AgentPeer[]): void {
        this.rotation = agents.map((agent) => agent.instance);
        const names = new Set(this.rotation);
        for (const agent of [...this.knownRevisions.keys()].filter((name) => !names.has(name))) {
            this.knownRevisions.delete(agent);
        }
        this.ownedAgents.clear();
        for (const agent of agents.filter((other) => other.isOwned)) {
            this.ownedAgents.add(agent.instance);
        }
    }

    /** Records the revision that a message from an agent carried. */
    observe(agent: string, revision: number): void {
        if (this.ownedAgents.has(agent)) {
            this.knownRevisions.set(agent, revision);
        }
    }

    /** Selects the next agent if a message is due: an owned agent that is behind or, at longer intervals, any agent. */
    selectDue(revision: number, now: Milliseconds): PushTarget | undefined {
        const elapsed = now - (this.lastSentAt ?? -Infinity);
        if (elapsed < agentPushInterval || revision === 0) {
            return undefined;
        }
        const behindIndex = this.rotation.findIndex((agent) =>
            this.ownedAgents.has(agent) && this.knownRevision(agent) < revision
        );
        if (behindIndex < 0 && elapsed < this.antiEntropyInterval()) {
            return undefined;
        }
        const [agent] = this.rotation.splice(Math.max(0, behindIndex), 1);
        if (agent === undefined) {
            return undefined;
        }
        this.rotation.push(agent);
        this.lastSentAt = now;
        const target = { agent, revision: behindIndex < 0 ? revision : this.knownRevision(agent) };
        this.observe(agent, revision);
        return target;
    }

    private knownRevision(agent: string): number {
        return this.knownRevisions.get(agent) ?? 0;
    }

    private antiEntropyInterval(): Milliseconds {
        const interval = this.rotation.length * antiEntropyIntervalPerAgent;
        return Math.min(maximumAgentAntiEntropyInterval, Math.max(minimumAgentAntiEntropyInterval, interval));
    }
}

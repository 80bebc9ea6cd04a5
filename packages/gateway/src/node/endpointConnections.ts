/**
 * Connections of a router to its endpoints.
 *
 * @module
 */
import { EndpointAgent } from "@redwingpin/common";
import type { DirectEndpoint } from "@redwingpin/fleet";
import type { Agent } from "node:http";

/** Connections of this router, by endpoint. */
export class EndpointConnections {
    private readonly agents = new Map<string, EndpointAgent>();

    /** Agent that holds the connections to an endpoint. */
    agentOf(endpoint: DirectEndpoint, maxConnections: number): Agent {
        let agent = this.agents.get(endpoint.instance);
        if (agent === undefined) {
            agent = new EndpointAgent({ maxSockets: Math.max(1, maxConnections) });
            this.agents.set(endpoint.instance, agent);
        }
        return agent;
    }

    /** Closes the idle connections to an endpoint that no longer exists; running requests continue. */
    removeEndpoint(instance: string): void {
        const agent = this.agents.get(instance);
        this.agents.delete(instance);
        for (const socket of Object.values(agent?.freeSockets ?? {}).flat()) {
            socket?.destroy();
        }
    }

    /** Closes all connections. */
    stop(): void {
        for (const agent of this.agents.values()) {
            agent.destroy();
        }
    }
}

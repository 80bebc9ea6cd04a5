/**
 * Connects the configuration task to its peers over the inner network.
 *
 * @module
 */
import { type InnerAddress, type InnerNode, ProcessRole, Topic } from "@redwingpin/protocol";
import type { AgentPeer, RouterPeer } from "../decision/replicaEvents.js";
import type { ConfigurationPeers } from "./configurationTask.js";

/** A peer with its address on the inner network. */
export interface AddressedPeer extends RouterPeer, InnerAddress {}

/** The current peers of a router. */
export interface RouterDirectory {
    /** Live routers except this process. */
    routers(): readonly AddressedPeer[];
    /** Agents that this router owns: it alone keeps them up to date. */
    ownedAgents(): readonly AddressedPeer[];
    /** Agents that this router is connected to, including the owned ones. */
    connectedAgents(): readonly AddressedPeer[];
}

/** Peers of a router, which connects to them by their addresses. */
export function createRouterPeers(node: InnerNode, directory: RouterDirectory): ConfigurationPeers {
    return {
        routers: () => directory.routers(),
        agents: () => agentPeers(directory),
        send(to, message) {
            if (sendOnOpenConnection(node, to, message)) {
                return;
            }
            const peer = [...directory.routers(), ...directory.connectedAgents()].find((candidate) =>
                candidate.instance === to
            );
            if (peer !== undefined) {
                node.notify(peer, Topic.Configuration, message);
            }
        },
    };
}

function agentPeers(directory: RouterDirectory): AgentPeer[] {
    const owned = new Set(directory.ownedAgents().map((agent) => agent.instance));
    return directory.connectedAgents().map(({ instance }) => ({ instance, isOwned: owned.has(instance) }));
}

/** Peers of an agent: the routers that have connected to it. */
export function createAgentPeers(node: InnerNode): ConfigurationPeers {
    return {
        routers: () => connectedRouters(node),
        agents: () => [],
        send: (to, message) => void sendOnOpenConnection(node, to, message),
    };
}

function connectedRouters(node: InnerNode): RouterPeer[] {
    const routers = node.openConnections().filter((connection) =>
        connection.peer.role === ProcessRole.Router
    );
    const instances = new Set(routers.map((connection) => connection.peer.instance));
    return [...instances].map((instance) => ({ instance, dataCentre: "" }));
}

function sendOnOpenConnection(node: InnerNode, to: string, body: unknown): boolean {
    const connection = node.openConnections().find((open) => open.peer.instance === to && !open.isClosed);
    connection?.notify(Topic.Configuration, body);
    return connection !== undefined;
}

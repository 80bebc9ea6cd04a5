/**
 * Reaches the peers of a process over its inner connections.
 *
 * @module
 */
import { type InnerAddress, type InnerNode, ProcessRole, Topic } from "@redwingpin/protocol";
import type { SpreadAgent, SpreadPeer } from "../decision/replicaEvents.js";
import type { ConfigurationPeers } from "./configurationTask.js";

/** A peer with its address on the inner network. */
export interface AddressedPeer extends SpreadPeer, InnerAddress {}

/** Who a router's peers are at the moment. */
export interface RouterDirectory {
    /** Live routers without this process. */
    routers(): readonly AddressedPeer[];
    /** Agents that this router alone keeps up to date. */
    homeAgents(): readonly AddressedPeer[];
    /** Agents that this router is in touch with, the home ones included. */
    keptAgents(): readonly AddressedPeer[];
}

/** Peers of a router: dialled by their addresses. */
export function createRouterPeers(node: InnerNode, directory: RouterDirectory): ConfigurationPeers {
    return {
        routers: () => directory.routers(),
        agents: () => spreadAgents(directory),
        send(to, message) {
            if (sendOnOpenConnection(node, to, message)) {
                return;
            }
            const peer = [...directory.routers(), ...directory.keptAgents()].find((candidate) =>
                candidate.instance === to
            );
            if (peer !== undefined) {
                node.notify(peer, Topic.Configuration, message);
            }
        },
    };
}

function spreadAgents(directory: RouterDirectory): SpreadAgent[] {
    const home = new Set(directory.homeAgents().map((agent) => agent.instance));
    return directory.keptAgents().map(({ instance }) => ({ instance, isHome: home.has(instance) }));
}

/** Peers of an agent: the routers that have connected to it. */
export function createAgentPeers(node: InnerNode): ConfigurationPeers {
    return {
        routers: () => connectedRouters(node),
        agents: () => [],
        send: (to, message) => void sendOnOpenConnection(node, to, message),
    };
}

function connectedRouters(node: InnerNode): SpreadPeer[] {
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

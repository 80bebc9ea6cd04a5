/**
 * Connections of a gateway with its peers.
 *
 * @module
 */
import { type Clock, closedConnectionRecorder, type Logger } from "@redwingpin/common";
import type { FleetState } from "@redwingpin/fleet";
import { InnerNode, ProcessRole } from "@redwingpin/protocol";
import type { Registry } from "prom-client";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";

/** Options of {@link createInnerNode}. */
export interface GatewayNodeOptions {
    readonly config: ResolvedGatewayConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
}

/** Creates the node through which a gateway calls its peers and is called by them. */
export function createInnerNode(
    { clock, config, logger, registry }: GatewayNodeOptions,
    incarnation: string,
    state: FleetState,
): InnerNode {
    return new InnerNode({
        role: ProcessRole.Router,
        instance: config.instance,
        incarnation,
        fleetKeys: config.fleetKeys,
        clock,
        logger: logger.scope("inner"),
        revision: () => state.configuration?.version ?? 0,
        onRevision: () => {},
        onMessage: () => {},
        onClosed: () => {},
        onHandshakeClosed: closedConnectionRecorder(registry, "inner"),
    });
}

/**
 * The node by which a router exchanges messages with other routers and with agents.
 *
 * @module
 */
import type { Clock, Logger } from "@redwingpin/common";
import { InnerNode, ProcessRole } from "@redwingpin/protocol";
import { randomUUID } from "node:crypto";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";

/** Options of {@link createRouterNode}. */
export interface RouterNodeOptions {
    readonly config: Pick<ResolvedGatewayConfig, "instance" | "fleetKeys">;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Creates the node of a router that starts now. `revision` is the version of its configuration. */
export function createRouterNode(options: RouterNodeOptions, revision: () => number): InnerNode {
    const { clock, config, logger } = options;
    return new InnerNode({
        role: ProcessRole.Router,
        instance: config.instance,
        incarnation: randomUUID(),
        fleetKeys: config.fleetKeys,
        clock,
        logger: logger.scope("inner"),
        revision,
        onRevision: () => {},
        onMessage: () => {},
        onClosed: () => {},
    });
}

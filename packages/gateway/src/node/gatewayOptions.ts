/**
 * Options of the gateway.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import type { DirectEndpoint, FleetSource, VersionStatusStore } from "@redwingpin/fleet";
import type { InnerAddress } from "@redwingpin/protocol";
import type { Registry } from "prom-client";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";
import type { HeaderCodec } from "../headerCodec.js";

/** Options of a gateway. */
export interface GatewayOptions {
    readonly config: ResolvedGatewayConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly source: FleetSource;
    readonly headerCodec: HeaderCodec;
    /** State of version rollouts in the store; without it, orders for other versions are not executed. */
    readonly versionStatusStore?: VersionStatusStore;
    /**
     * The latest time at which the current turn of the event loop can have begun.
     * @default now
     */
    readonly turnStartedBy?: () => Milliseconds;
    /** Address of the agent of an endpoint; `undefined` for endpoints without an agent. */
    readonly agentOf: (endpoint: DirectEndpoint) => InnerAddress | undefined;
}

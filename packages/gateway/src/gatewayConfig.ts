/**
 * Configuration of a gateway.
 *
 * @module
 */
import type { ConnectionLimits, Milliseconds } from "@redwingpin/common";
import type { ExposureBounds } from "@redwingpin/delivery";
import type { FleetKeys, InnerAddress } from "@redwingpin/protocol";
import type { HoldSettings } from "@redwingpin/scheduling";
import type { WeightsBounds } from "./decision/endpointChoice.js";
import type { EndpointModelSettings } from "./decision/endpointModelSettings.js";
import type { RetryBudgetBounds } from "./decision/fleetRetryBudget.js";
import type { RateTolerance } from "./decision/sharedLedger.js";

/** An address to listen on. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Configuration of a gateway, with all defaults applied. */
export interface ResolvedGatewayConfig {
    readonly instance: string;
    readonly dataCentre: string;
    readonly fleetKeys: FleetKeys;
    readonly callers: ListenAddress;
    /** Address at which the load balancer checks whether this router accepts connections. */
    readonly readiness: ListenAddress;
    readonly readinessPath: string;
    readonly inner: InnerAddress;
    /** Routers to contact first. */
    readonly seeds: readonly InnerAddress[];
    /** True only on the very first start of the whole fleet. */
    readonly isFirstStart: boolean;
    readonly retryBudget: RetryBudgetBounds;
    readonly weights: WeightsBounds;
    readonly endpointModel: EndpointModelSettings;
    /** Tokens that an account may spend beyond its rate and burst, over all routers. */
    readonly rateTolerance: RateTolerance;
    /** Bounds on the exposure to new versions of services; without them, orders for other versions are not executed. */
    readonly exposure?: ExposureBounds;
    /** Maximum time from the stop signal to the end of the process. */
    readonly stopTimeout: Milliseconds;
    /** Maximum total size of buffered request bodies, in bytes. */
    readonly maxBufferedBytes: number;
    /** Maximum total size of the answers that are buffered, in bytes. */
    readonly maxBufferedAnswerBytes: number;
    /** Requests for which no endpoint has room. */
    readonly hold: HoldSettings;
    /**
     * Limits of callers' connections that differ from the defaults.
     * @default defaultConnectionLimits
     */
    readonly connectionLimits?: Partial<ConnectionLimits>;
}

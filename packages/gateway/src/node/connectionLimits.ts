/**
 * Limits of the connections of callers on direct routes.
 *
 * @module
 */
import type { ConnectionLimits } from "@redwingpin/common";

/**
 * Defaults. Machines with few descriptors set a lower number of connections, so that some remain for endpoints, peers, the store
 * and the readiness port. The largest heads of 1,000 callers take 16 MB.
 */
export const defaultConnectionLimits: ConnectionLimits = {
    maxConnections: 2_000,
    maxUnfinishedBytes: 16_777_216,
    maxPipelined: 64,
};

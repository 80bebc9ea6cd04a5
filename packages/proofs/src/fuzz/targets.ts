/**
 * All fuzz targets, sorted by name.
 *
 * @module
 */
import { claimsTarget } from "./claimsTarget.js";
import { clientsTarget } from "./clientsTarget.js";
import { configurationTarget } from "./configurationTarget.js";
import { fairQueueTarget } from "./fairQueueTarget.js";
import type { FuzzTarget } from "./fuzzTarget.js";
import { membershipTarget } from "./membershipTarget.js";
import { ordersTarget } from "./ordersTarget.js";
import { placementTarget } from "./placementTarget.js";
import { quarantineTarget } from "./quarantineTarget.js";
import { ratesTarget } from "./ratesTarget.js";
import { streamsTarget } from "./streamsTarget.js";

export const fuzzTargets: readonly FuzzTarget[] = [
    claimsTarget,
    clientsTarget,
    configurationTarget,
    fairQueueTarget,
    membershipTarget,
    ordersTarget,
    placementTarget,
    quarantineTarget,
    ratesTarget,
    streamsTarget,
];

/**
 * Rollouts of a service between versions of its software, which move its requests to the replicas of another version.
 *
 * @module
 */
export * from "./decision/outcomeCounts.js";
export * from "./decision/requestVersions.js";
export * from "./decision/rolloutPlan.js";
export * from "./decision/rolloutState.js";
export * from "./decision/versionVerdict.js";
export * from "./node/versionDelivery.js";

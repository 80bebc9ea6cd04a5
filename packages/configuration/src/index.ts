/**
 * Submission, replication and installation of configurations.
 *
 * @module
 */
export * from "./decision/configurationReplica.js";
export * from "./decision/loadConfiguration.js";
export * from "./decision/replicaEvents.js";
export * from "./decision/storeDecision.js";
export * from "./decision/submission.js";
export * from "./node/configurationTask.js";
export * from "./node/innerPeers.js";
export * from "./records.js";
export * from "./simulation/replicaNetwork.js";
export * from "./simulation/simulatedStore.js";
export * from "./submitManifest.js";

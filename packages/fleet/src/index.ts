/**
 * The state of the fleet that routers and agents share, the exchanges that spread it, and the interface to the store.
 *
 * @module
 */
export * from "./decision/configurationAssembly.js";
export * from "./decision/configurationCheck.js";
export * from "./decision/configurationDifference.js";
export * from "./decision/configurationFetch.js";
export * from "./decision/crashEvidence.js";
export * from "./decision/crashTracker.js";
export * from "./decision/fleetState.js";
export * from "./decision/peerTable.js";
export * from "./decision/versionRollouts.js";
export * from "./decision/watcherSelection.js";
export * from "./directConfiguration.js";
export * from "./fleetMessages.js";
export * from "./fleetSource.js";
export * from "./node/fleetSync.js";
export * from "./node/logFact.js";
export * from "./node/storeWatcher.js";
export * from "./storePosition.js";
export * from "./versionStatus.js";

/**
 * Public items of this package.
 *
 * @module
 */
export * from "./decision/ejection.js";
export * from "./decision/endpointEstimate.js";
export * from "./decision/endpointTable.js";
export * from "./decision/placement.js";
export * from "./decision/prefixBlocks.js";
export * from "./decision/prefixOwners.js";
export * from "./decision/prefixTable.js";
export * from "./decision/rendezvous.js";
export * from "./decision/retryBudget.js";
export * from "./decision/stepTime.js";

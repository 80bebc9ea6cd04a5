/**
 * Public items of this package.
 *
 * @module
 */
export * from "./decision/endpointModel.js";
export * from "./decision/endpointSignals.js";
export * from "./decision/fairQueue.js";
export * from "./decision/memoryModel.js";
export * from "./decision/prefixSummary.js";
export * from "./decision/requestCost.js";
export * from "./decision/responseMonitor.js";
export * from "./decision/startPace.js";

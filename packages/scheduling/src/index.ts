/**
 * Public items of this package.
 *
 * @module
 */
export * from "./decision/accountWork.js";
export * from "./decision/endpointModel.js";
export * from "./decision/endpointRoom.js";
export * from "./decision/endpointSignals.js";
export * from "./decision/fairQueue.js";
export * from "./decision/holdPolicy.js";
export * from "./decision/memoryModel.js";
export * from "./decision/prefixSummary.js";
export * from "./decision/requestCost.js";
export * from "./decision/requestWait.js";
export * from "./decision/responseMonitor.js";
export * from "./decision/startPace.js";
export * from "./decision/waitingRequests.js";

/**
 * Public items of this package.
 *
 * @module
 */
export * from "./decision/attemptPlan.js";
export * from "./decision/crashBook.js";
export * from "./decision/demandMeter.js";
export * from "./decision/endpointBoard.js";
export * from "./decision/endpointChoice.js";
export * from "./decision/eventStreamReader.js";
export * from "./decision/prefixHomes.js";
export * from "./decision/prefixPlacement.js";
export * from "./decision/relayBook.js";
export * from "./decision/retryAllowance.js";
export * from "./decision/routeTable.js";
export * from "./decision/sharedLedger.js";
export * from "./node/gateway.js";
export * from "./wireDialect.js";

/**
 * The gateway of direct routes: checks requests, selects endpoints, retries and enforces the accounts' rates.
 *
 * @module
 */
export * from "./decision/answerBuffers.js";
export * from "./decision/attemptPlan.js";
export * from "./decision/demandTracker.js";
export * from "./decision/endpointChoice.js";
export * from "./decision/endpointModelSettings.js";
export * from "./decision/endpointState.js";
export * from "./decision/endpointTable.js";
export * from "./decision/eventStreamReader.js";
export * from "./decision/fleetRetryBudget.js";
export * from "./decision/permitIssuer.js";
export * from "./decision/permitThreshold.js";
export * from "./decision/prefixIndex.js";
export * from "./decision/prefixPlacement.js";
export * from "./decision/routeTable.js";
export * from "./decision/serviceSpeed.js";
export * from "./decision/sharedLedger.js";
export * from "./decision/sharedParts.js";
export * from "./decision/spendingRelay.js";
export * from "./decision/streamPace.js";
export * from "./decision/transferTime.js";
export * from "./gatewayConfig.js";
export * from "./headerCodec.js";
export * from "./memoryShares.js";
export { defaultConnectionLimits } from "./node/connectionLimits.js";
export * from "./node/gateway.js";
export * from "./node/gatewayOptions.js";

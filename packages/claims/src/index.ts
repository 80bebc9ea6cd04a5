/**
 * At-most-once execution, orders to endpoints, and quarantine of requests that crash endpoints.
 *
 * @module
 */
export * from "./constants.js";
export * from "./decision/claimCall.js";
export * from "./decision/claimMessages.js";
export * from "./decision/orders/order.js";
export { OrderProgress } from "./decision/orders/orderRound.js";
export { maximumWeightLoads, planOrders } from "./decision/orders/planOrders.js";
export * from "./decision/quarantine/isolationGate.js";
export * from "./decision/quarantine/quarantineMessages.js";
export * from "./decision/quarantine/suspectTracker.js";
export * from "./node/claims.js";
export * from "./node/orderExecutor.js";
export * from "./node/orderLeader.js";
export * from "./node/quarantine.js";

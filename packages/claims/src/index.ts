/**
 * At-most-once execution, orders to endpoints and quarantine of requests that crash endpoints.
 *
 * @module
 */
export * from "./constants.js";
export * from "./decision/claimCall.js";
export * from "./decision/claimMessages.js";
export * from "./node/claims.js";

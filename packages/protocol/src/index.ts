/**
 * The inner protocol between redwingpin processes: messages, frames and authenticated connections.
 *
 * @module
 */
export * from "./configurationMessages.js";
export * from "./constants.js";
export * from "./frame.js";
export * from "./membershipMessages.js";
export * from "./messages.js";
export * from "./messageShape.js";
export * from "./node/connection.js";
export * from "./node/fleetKey.js";
export * from "./node/innerNode.js";
export * from "./node/processSettings.js";
export * from "./node/secureChannel.js";
export * from "./operatorMessages.js";
export * from "./protocolError.js";
export * from "./rateMessages.js";

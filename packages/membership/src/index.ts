/**
 * Which instances live: pings, the VM list, incarnations, and who looks after which agent.
 *
 * @module
 */
export * from "./constants.js";
export * from "./decision/agentAssignment.js";
export * from "./decision/membershipDecision.js";
export * from "./decision/memberTable.js";
export * from "./node/innerTransport.js";
export * from "./node/membershipResponder.js";
export * from "./node/membershipTask.js";
export * from "./simulation/memberNetwork.js";

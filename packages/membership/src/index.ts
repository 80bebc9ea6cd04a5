/**
 * Membership of the fleet: pings, the VM list, epochs, and the assignment of agents to routers.
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

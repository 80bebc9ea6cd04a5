/**
 * The agent that loads desired weights on its replica, in turn with the other replicas of the service.
 *
 * @module
 */
export * from "./decision/rolloutTurn.js";
export * from "./decision/turnProgress.js";
export * from "./node/replicaAgent.js";
export * from "./replicaControl.js";

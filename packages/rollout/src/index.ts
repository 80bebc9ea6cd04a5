/**
 * Public items of this package.
 *
 * @module
 */
export * from "./decision/rolloutTurn.js";
export * from "./node/replicaAgent.js";
export * from "./replicaControl.js";

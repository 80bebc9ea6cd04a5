/**
 * The playground as a library for scenarios and tests.
 *
 * @module
 */
export * from "./childProcess.js";
export * from "./deployment.js";
export * from "./playground.js";
export { crashMarker, type ProcessPlan } from "./processPlans.js";
export * from "./state.js";

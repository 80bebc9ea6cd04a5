/**
 * Submission, spread and installation of accepted configurations.
 *
 * @module
 */
export * from "./decision/loadConfiguration.js";
export * from "./decision/storeDecision.js";
export * from "./decision/submission.js";
export * from "./records.js";
export * from "./submitManifest.js";

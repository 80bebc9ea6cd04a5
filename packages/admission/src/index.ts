/**
 * Admission control: enforces the rates and bursts of client accounts, in tokens, over the whole fleet.
 *
 * @module
 */
export * from "./constants.js";
export * from "./decision/departureDetector.js";
export * from "./decision/holderSelector.js";
export * from "./decision/roster.js";
export * from "./decision/slotHolder.js";
export * from "./decision/tokenAcquisition.js";
export * from "./decision/tokenBucket.js";
export * from "./decision/tokenShare.js";
export * from "./node/accountQueue.js";
export * from "./node/admissionController.js";
export * from "./node/admissionOptions.js";
export * from "./node/rosterCache.js";
export * from "./node/rosterRepairTask.js";

/**
 * The inner protocol between redwingpin processes.
 *
 * @module
 */
export * from "./messages.js";
export * from "./rateMessages.js";

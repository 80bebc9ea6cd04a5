/**
 * The inner protocol between redwingpin processes.
 *
 * @module
 */
export * from "./messages.js";

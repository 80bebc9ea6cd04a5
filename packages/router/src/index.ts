/**
 * redwingpin-router: serves callers.
 *
 * @module
 */
export * from "./config.js";
export * from "./constants.js";
export * from "./node/router.js";

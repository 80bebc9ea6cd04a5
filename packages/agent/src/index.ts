/**
 * redwingpin-agent: the only way in to one endpoint.
 *
 * @module
 */
export * from "./config.js";
export * from "./constants.js";
export * from "./node/agent.js";

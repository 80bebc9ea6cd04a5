/**
 * redwingpin-agent: the process through which all requests reach one endpoint.
 *
 * @module
 */
export * from "./config.js";
export * from "./constants.js";
export * from "./node/agent.js";

/**
 * The operator's command.
 *
 * @module
 */
export * from "./exitCodes.js";
export * from "./fleetSummary.js";
export * from "./node/cli.js";

/**
 * The operator's command: its command-line interface, exit codes and fleet summary.
 *
 * @module
 */
export * from "./exitCodes.js";
export * from "./fleetSummary.js";
export * from "./node/cli.js";

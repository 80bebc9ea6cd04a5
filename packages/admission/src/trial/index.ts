/**
 * Simulated fleet, network and judge of admission, for fuzzing and experiments. No product process uses them.
 *
 * @module
 */
export * from "./idealBucket.js";
export * from "./rateFleet.js";
export * from "./rateLedger.js";
export * from "./rateNetwork.js";

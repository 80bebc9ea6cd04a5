/**
 * Simulated fleet and network, and checks of admission, for fuzzing and experiments. Not used in production.
 *
 * @module
 */
export * from "./idealBucket.js";
export * from "./overspentTokens.js";
export * from "./rateFleet.js";
export * from "./rateNetwork.js";

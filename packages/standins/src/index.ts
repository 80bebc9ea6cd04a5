/**
 * Stand-ins for the systems around the product, each as a function for tests and as a command.
 *
 * @module
 */
export type { Standin, StandinOptions } from "./node/httpListener.js";
export type { SeenRequest } from "./node/seenRequests.js";
export * from "./node/storeStandin.js";
export * from "./node/virtualMachineListStandin.js";

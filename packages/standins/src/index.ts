/**
 * Stand-ins for the systems around the product, each as a function for tests and as a command.
 *
 * @module
 */
export { countTokens, tokenSource } from "./node/completionText.js";
export type { EngineStandinOptions } from "./node/engineOptions.js";
export { type Order, OrderKind, type OrderRecord } from "./node/engineOrders.js";
export * from "./node/engineStandin.js";
export type { Standin, StandinOptions } from "./node/httpListener.js";
export * from "./node/networkStandin.js";
export * from "./node/portAllocator.js";
export { charactersPerToken } from "./node/prefixBlocks.js";
export type { SeenReport, SeenRequest } from "./node/seenRequests.js";
export * from "./node/serviceStandin.js";
export * from "./node/storeStandin.js";
export * from "./node/virtualMachineListStandin.js";

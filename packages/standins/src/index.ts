/**
 * Stand-ins for the external systems that the product talks to: each is a function for tests and a command.
 *
 * @module
 */
export * from "./node/clientCrowd.js";
export { countTokens, createTokenGenerator } from "./node/completionText.js";
export * from "./node/crowdKinds.js";
export type { EngineStandinOptions } from "./node/engineOptions.js";
export { type Order, OrderKind, type OrderRecord } from "./node/engineOrders.js";
export * from "./node/engineStandin.js";
export type { Standin, StandinOptions } from "./node/httpListener.js";
export * from "./node/networkStandin.js";
export * from "./node/portAllocator.js";
export { charactersPerToken } from "./node/prefixBlockCache.js";
export type { RecordedRequest, RequestLogReport } from "./node/requestLog.js";
export * from "./node/serviceStandin.js";
export * from "./node/storeStandin.js";
export { Ending, Identity, runUntrusted, SendingMode, type UntrustedGroup } from "./node/untrustedClients.js";
export * from "./node/virtualMachineListStandin.js";

/**
 * Clients of the platform's key-value store and VM list, and simulations for tests.
 *
 * @module
 */
export * from "./constants.js";
export * from "./etcdStore.js";
export * from "./jsonHttpClient.js";
export * from "./memoryStore.js";
export * from "./prometheusVirtualMachineList.js";
export * from "./simulatedProcess.js";
export * from "./store.js";
export * from "./virtualMachineList.js";

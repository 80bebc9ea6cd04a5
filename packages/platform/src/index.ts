/**
 * Clients of the platform: the key-value store and the VM list.
 *
 * @module
 */
export * from "./memoryStore.js";
export * from "./store.js";
export * from "./virtualMachineList.js";

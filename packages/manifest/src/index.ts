/**
 * The manifest: its types, JSON schema, checks with places, digests and deltas.
 *
 * @module
 */
export * from "./manifest.js";
export * from "./manifestIndex.js";

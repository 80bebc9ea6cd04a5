/**
 * The manifest: its types, JSON schema, parser, checks, digests and changes.
 *
 * @module
 */
export * from "./manifest.js";
export * from "./manifestChanges.js";
export * from "./manifestIndex.js";
export * from "./manifestReferences.js";
export * from "./manifestSchema.js";
export * from "./manifestShape.js";
export * from "./parseManifest.js";
export * from "./schemaCheck.js";
export * from "./shardedManifest.js";

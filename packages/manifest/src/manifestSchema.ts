/**
 * The published JSON schema (draft-07) of the manifest. `redwingpin manifest schema` prints it.
 *
 * @module
 */
import { EndpointKind, RouteKind, RoutePriority } from "./manifest.js";

/** A JSON schema, or a part of one. */
export type JsonSchema = Readonly<Record<string, unknown>>;

/** Highest rate of an account. */
export const maximumTokensPerSecond = 1_000_000_000;

/** Smallest burst of an account: large enough for one short request. */
export const minimumBurstTokens = 16;

/** Largest burst of an account. */
export const maximumBurstTokens = 1_000_000_000_000;

const maximumNameLength = 128;
const maximumReplicas = 100_000;

const name = { type: "string", pattern: "^[A-Za-z0-9][A-Za-z0-9._-]*$", maxLength: maximumNameLength };
const modelName = { type: "string", pattern: "^[A-Za-z0-9][A-Za-z0-9._:/-]*$", maxLength: maximumNameLength };

const modelVersion = {
    type: "object",
    additionalProperties: false,
    required: ["name", "weights", "replicas"],
    properties: {
        name,
        weights: { type: "string", minLength: 1, maxLength: 1024 },
        replicas: { type: "integer", minimum: 0, maximum: maximumReplicas },
    },
};

const model = {
    type: "object",
    additionalProperties: false,
    required: ["name", "versions"],
    properties: {
        name: modelName,
        versions: { type: "array", items: modelVersion, minItems: 1 },
        adapters: { type: "array", items: modelName, default: [] },
    },
};

const pool = {
    type: "object",
    additionalProperties: false,
    required: ["name", "kind"],
    properties: {
        name,
        kind: { enum: Object.values(EndpointKind) },
        model: modelName,
        checksSender: { type: "boolean", default: false },
        checksFencing: { type: "boolean", default: false },
    },
};

const accountKey = {
    type: "object",
    additionalProperties: false,
    required: ["name", "digest"],
    properties: { name, digest: { type: "string", pattern: "^sha256:[0-9a-f]{64}$" } },
};

const account = {
    type: "object",
    additionalProperties: false,
    required: ["name", "tokensPerSecond", "burstTokens"],
    properties: {
        name,
        tokensPerSecond: { type: "number", exclusiveMinimum: 0, maximum: maximumTokensPerSecond },
        burstTokens: { type: "number", minimum: minimumBurstTokens, maximum: maximumBurstTokens },
        keys: { type: "array", items: accountKey, default: [] },
    },
};

const access = {
    type: "object",
    additionalProperties: false,
    required: ["open"],
    properties: { open: { type: "boolean" }, accounts: { type: "array", items: name, minItems: 1 } },
    if: { properties: { open: { const: true } } },
    then: { properties: { accounts: false } },
    else: { required: ["accounts"] },
};

const route = {
    type: "object",
    additionalProperties: false,
    required: ["name", "kind", "access", "pool", "idempotent"],
    properties: {
        name: modelName,
        kind: { enum: Object.values(RouteKind) },
        access,
        priority: { enum: Object.values(RoutePriority), default: RoutePriority.Normal },
        pool: name,
        idempotent: { type: "boolean" },
        model: modelName,
        version: name,
        adapter: modelName,
        callTokens: { type: "number", exclusiveMinimum: 0, maximum: maximumBurstTokens },
    },
    if: { properties: { kind: { const: RouteKind.Model } } },
    then: { required: ["model", "version"], properties: { callTokens: false } },
    else: { required: ["callTokens"], properties: { model: false, version: false, adapter: false, name } },
};

/** Schema of a manifest. */
export const manifestSchema: JsonSchema = {
    $schema: "http://json-schema.org/draft-07/schema#",
    title: "redwingpin manifest",
    type: "object",
    additionalProperties: false,
    required: ["models", "pools", "accounts", "routes"],
    properties: {
        models: { type: "array", items: model },
        pools: { type: "array", items: pool },
        accounts: { type: "array", items: account },
        routes: { type: "array", items: route },
    },
};

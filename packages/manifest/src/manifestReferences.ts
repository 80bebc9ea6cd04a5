/**
 * Checks between the parts of a manifest: what a part names must exist, and names and digests must be unique.
 *
 * @module
 */
import { EndpointKind, type Manifest, type Model, type Route, RouteKind } from "./manifest.js";
import type { SchemaMismatch, ValuePath } from "./schemaCheck.js";

/** Everything that is wrong between the parts of a manifest which matches the schema. */
export function checkReferences(manifest: Manifest): SchemaMismatch[] {
    return [...mismatches(manifest)];
}

function* mismatches(manifest: Manifest): Generator<SchemaMismatch> {
    yield* duplicateNames(manifest);
    yield* modelMismatches(manifest);
    yield* poolMismatches(manifest);
    yield* keyMismatches(manifest);
    const known = namesOf(manifest);
    for (const [index, route] of manifest.routes.entries()) {
        yield* routeMismatches(manifest, known, route, ["routes", index]);
    }
}

function* duplicateNames(manifest: Manifest): Generator<SchemaMismatch> {
    for (const section of ["models", "pools", "accounts", "routes"] as const) {
        yield* duplicates(manifest[section].map((item) => item.name), [section], section.slice(0, -1));
    }
    for (const [index, model] of manifest.models.entries()) {
        const versions = model.versions.map((version) => version.name);
        yield* duplicates(versions, ["models", index, "versions"], `version of model "${model.name}"`);
    }
    for (const [index, account] of manifest.accounts.entries()) {
        const keys = account.keys.map((key) => key.name);
        yield* duplicates(keys, ["accounts", index, "keys"], `key of account "${account.name}"`);
    }
}

function* duplicates(names: readonly string[], list: ValuePath, noun: string): Generator<SchemaMismatch> {
    const seen = new Set<string>();
    for (const [index, name] of names.entries()) {
        if (seen.has(name)) {
            yield {
                path: [...list, index, "name"],
                message: `${noun} "${name}" stands twice`,
                advice: "give each its own name, or remove one",
            };
        }
        seen.add(name);
    }
}

function* modelMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    for (const [index, model] of manifest.models.entries()) {
        for (const [position, adapter] of model.adapters.entries()) {
            if (model.adapters.indexOf(adapter) < position) {
                yield {
                    path: ["models", index, "adapters", position],
                    message: `adapter "${adapter}" of model "${model.name}" stands twice`,
                    advice: "remove one",
                };
            }
        }
    }
}

function* poolMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    const models = new Set(manifest.models.map((model) => model.name));
    for (const [index, pool] of manifest.pools.entries()) {
        if (pool.kind === EndpointKind.Engine && pool.model === undefined) {
            yield {
                path: ["pools", index],
                message: `pool "${pool.name}" holds engines but names no model`,
                advice: `add "model"`,
            };
        }
        if (pool.kind !== EndpointKind.Engine && pool.model !== undefined) {
            yield {
                path: ["pools", index, "model"],
                message: `pool "${pool.name}" holds no engines, so it serves no model`,
                advice: `remove "model"`,
            };
        }
        if (pool.model !== undefined && !models.has(pool.model)) {
            yield unknownName(["pools", index, "model"], "model", pool.model);
        }
    }
}

function* keyMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    const holders = new Map<string, string>();
    for (const [index, account] of manifest.accounts.entries()) {
        for (const [position, key] of account.keys.entries()) {
            const holder = holders.get(key.digest);
            if (holder !== undefined) {
                yield {
                    path: ["accounts", index, "keys", position, "digest"],
                    message: `key "${key.name}" of account "${account.name}" is already a key of "${holder}"`,
                    advice: "issue a key of its own to each account",
                };
            }
            holders.set(key.digest, account.name);
        }
    }
}

interface KnownNames {
    readonly accounts: ReadonlySet<string>;
    readonly models: ReadonlyMap<string, Model>;
}

function namesOf(manifest: Manifest): KnownNames {
    return {
        accounts: new Set(manifest.accounts.map((account) => account.name)),
        models: new Map(manifest.models.map((model) => [model.name, model])),
    };
}

function* routeMismatches(
    manifest: Manifest,
    known: KnownNames,
    route: Route,
    path: ValuePath,
): Generator<SchemaMismatch> {
    yield* routePoolMismatches(manifest, route, path);
    if (!route.access.open) {
        for (const [position, account] of route.access.accounts.entries()) {
            if (!known.accounts.has(account)) {
                yield unknownName([...path, "access", "accounts", position], "account", account);
            }
        }
    }
    if (route.kind === RouteKind.Model) {
        yield* weightsMismatches(known.models.get(route.model), route, path);
    }
}

function* routePoolMismatches(manifest: Manifest, route: Route, path: ValuePath): Generator<SchemaMismatch> {
    const pool = manifest.pools.find((candidate) => candidate.name === route.pool);
    const place = [...path, "pool"];
    if (pool === undefined) {
        yield unknownName(place, "pool", route.pool);
        return;
    }
    const expected = route.kind === RouteKind.Model ? EndpointKind.Engine : EndpointKind.Service;
    if (pool.kind !== expected) {
        yield {
            path: place,
            message:
                `route "${route.name}" of kind ${route.kind} leads to pool "${pool.name}" of kind ${pool.kind}`,
            advice: `name a pool of kind ${expected}`,
        };
    }
    else if (route.kind === RouteKind.Model && pool.model !== undefined && pool.model !== route.model) {
        yield {
            path: place,
            message: `pool "${pool.name}" serves model "${pool.model}", not "${route.model}"`,
            advice: "name a pool of the route's model",
        };
    }
}

function* weightsMismatches(
    model: Model | undefined,
    route: Extract<Route, { kind: RouteKind.Model; }>,
    path: ValuePath,
): Generator<SchemaMismatch> {
    if (model === undefined) {
        yield unknownName([...path, "model"], "model", route.model);
        return;
    }
    if (!model.versions.some((version) => version.name === route.version)) {
        yield unknownName([...path, "version"], `version of model "${model.name}"`, route.version);
    }
    if (route.adapter !== undefined && !model.adapters.includes(route.adapter)) {
        yield unknownName([...path, "adapter"], `adapter of model "${model.name}"`, route.adapter);
    }
}

function unknownName(path: ValuePath, noun: string, name: string): SchemaMismatch {
    return { path, message: `${noun} "${name}" does not exist`, advice: "add it, or correct the name" };
}

/**
 * Checks across the parts of a manifest: referenced names must exist, and names and key digests must be unique.
 *
 * @module
 */
import { EndpointKind, type Manifest, type Model, type Route, RouteKind } from "./manifest.js";
import type { SchemaMismatch, ValuePath } from "./schemaCheck.js";

/** Returns every invalid reference and every duplicate in a manifest that matches the schema. */
export function checkReferences(manifest: Manifest): SchemaMismatch[] {
    return [...findMismatches(manifest)];
}

function* findMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    yield* findDuplicateNames(manifest);
    yield* findModelMismatches(manifest);
    yield* findPoolMismatches(manifest);
    yield* findKeyMismatches(manifest);
    const known = collectNames(manifest);
    for (const [index, route] of manifest.routes.entries()) {
        yield* findRouteMismatches(manifest, known, route, ["routes", index]);
    }
}

function* findDuplicateNames(manifest: Manifest): Generator<SchemaMismatch> {
    for (const section of ["models", "pools", "accounts", "routes"] as const) {
        yield* findDuplicates(manifest[section].map((item) => item.name), [section], section.slice(0, -1));
    }
    for (const [index, model] of manifest.models.entries()) {
        const versions = model.versions.map((version) => version.name);
        yield* findDuplicates(versions, ["models", index, "versions"], `model "${model.name}": version`);
    }
    for (const [index, account] of manifest.accounts.entries()) {
        const keys = account.keys.map((key) => key.name);
        yield* findDuplicates(keys, ["accounts", index, "keys"], `account "${account.name}": key`);
    }
}

function* findDuplicates(names: readonly string[], list: ValuePath, noun: string): Generator<SchemaMismatch> {
    const seen = new Set<string>();
    for (const [index, name] of names.entries()) {
        if (seen.has(name)) {
            yield {
                path: [...list, index, "name"],
                message: `${noun} "${name}" is listed twice`,
                advice: "rename or remove one of them",
            };
        }
        seen.add(name);
    }
}

function* findModelMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    for (const [index, model] of manifest.models.entries()) {
        for (const [position, adapter] of model.adapters.entries()) {
            if (model.adapters.indexOf(adapter) < position) {
                yield {
                    path: ["models", index, "adapters", position],
                    message: `adapter "${adapter}" of model "${model.name}" is listed twice`,
                    advice: "remove one",
                };
            }
        }
    }
}

function* findPoolMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    const models = new Set(manifest.models.map((model) => model.name));
    for (const [index, pool] of manifest.pools.entries()) {
        if (pool.kind === EndpointKind.Engine && pool.model === undefined) {
            yield {
                path: ["pools", index],
                message: `pool "${pool.name}" holds engines but has no model`,
                advice: `add "model"`,
            };
        }
        if (pool.kind !== EndpointKind.Engine && pool.model !== undefined) {
            yield {
                path: ["pools", index, "model"],
                message: `pool "${pool.name}" holds no engines and cannot have a model`,
                advice: `remove "model"`,
            };
        }
        if (pool.model !== undefined && !models.has(pool.model)) {
            yield unknownNameMismatch(["pools", index, "model"], "model", pool.model);
        }
    }
}

function* findKeyMismatches(manifest: Manifest): Generator<SchemaMismatch> {
    const accountsByDigest = new Map<string, string>();
    for (const [index, account] of manifest.accounts.entries()) {
        for (const [position, key] of account.keys.entries()) {
            const otherAccount = accountsByDigest.get(key.digest);
            if (otherAccount !== undefined) {
                yield {
                    path: ["accounts", index, "keys", position, "digest"],
                    message:
                        `key "${key.name}" of account "${account.name}" is already a key of account "${otherAccount}"`,
                    advice: "issue a separate key to each account",
                };
            }
            accountsByDigest.set(key.digest, account.name);
        }
    }
}

interface KnownNames {
    readonly accounts: ReadonlySet<string>;
    readonly models: ReadonlyMap<string, Model>;
}

function collectNames(manifest: Manifest): KnownNames {
    return {
        accounts: new Set(manifest.accounts.map((account) => account.name)),
        models: new Map(manifest.models.map((model) => [model.name, model])),
    };
}

function* findRouteMismatches(
    manifest: Manifest,
    known: KnownNames,
    route: Route,
    path: ValuePath,
): Generator<SchemaMismatch> {
    yield* findRoutePoolMismatches(manifest, route, path);
    if (!route.access.open) {
        for (const [position, account] of route.access.accounts.entries()) {
            if (!known.accounts.has(account)) {
                yield unknownNameMismatch([...path, "access", "accounts", position], "account", account);
            }
        }
    }
    if (route.kind === RouteKind.Model) {
        yield* findRouteModelMismatches(known.models.get(route.model), route, path);
    }
}

function* findRoutePoolMismatches(
    manifest: Manifest,
    route: Route,
    path: ValuePath,
): Generator<SchemaMismatch> {
    const pool = manifest.pools.find((candidate) => candidate.name === route.pool);
    const poolPath = [...path, "pool"];
    if (pool === undefined) {
        yield unknownNameMismatch(poolPath, "pool", route.pool);
        return;
    }
    const expected = route.kind === RouteKind.Model ? EndpointKind.Engine : EndpointKind.Service;
    if (pool.kind !== expected) {
        yield {
            path: poolPath,
            message:
                `route "${route.name}" of kind ${route.kind} uses pool "${pool.name}" of kind ${pool.kind}`,
            advice: `use a pool of kind ${expected}`,
        };
    }
    else if (route.kind === RouteKind.Model && pool.model !== undefined && pool.model !== route.model) {
        yield {
            path: poolPath,
            message: `pool "${pool.name}" serves model "${pool.model}", not "${route.model}"`,
            advice: "use a pool of the route's model",
        };
    }
}

function* findRouteModelMismatches(
    model: Model | undefined,
    route: Extract<Route, { kind: RouteKind.Model; }>,
    path: ValuePath,
): Generator<SchemaMismatch> {
    if (model === undefined) {
        yield unknownNameMismatch([...path, "model"], "model", route.model);
        return;
    }
    if (!model.versions.some((version) => version.name === route.version)) {
        yield unknownNameMismatch([...path, "version"], `model "${model.name}": version`, route.version);
    }
    if (route.adapter !== undefined && !model.adapters.includes(route.adapter)) {
        yield unknownNameMismatch([...path, "adapter"], `model "${model.name}": adapter`, route.adapter);
    }
}

function unknownNameMismatch(path: ValuePath, noun: string, name: string): SchemaMismatch {
    return { path, message: `${noun} "${name}" does not exist`, advice: "add it, or correct the name" };
}

/**
 * Index of a manifest, for lookups by the router and the agent.
 *
 * @module
 */
import type { ClientAccount, EndpointPool, Manifest, Model, Route } from "./manifest.js";

const digestPrefix = "sha256:";

/** Immutable index of one manifest. */
export class ManifestIndex {
    private readonly accountsByKeyDigest = new Map<string, ClientAccount>();
    private readonly accountsByName: ReadonlyMap<string, ClientAccount>;
    private readonly routesByName: ReadonlyMap<string, Route>;
    private readonly poolsByName: ReadonlyMap<string, EndpointPool>;
    private readonly modelsByName: ReadonlyMap<string, Model>;

    constructor(readonly manifest: Manifest) {
        for (const account of manifest.accounts) {
            for (const key of account.keys) {
                this.accountsByKeyDigest.set(key.digest.slice(digestPrefix.length), account);
            }
        }
        this.accountsByName = indexByName(manifest.accounts);
        this.routesByName = indexByName(manifest.routes);
        this.poolsByName = indexByName(manifest.pools);
        this.modelsByName = indexByName(manifest.models);
    }

    /** Returns the account whose key has this SHA-256, given as 64 hex digits. */
    accountOfKey(digest: string): ClientAccount | undefined {
        return this.accountsByKeyDigest.get(digest);
    }

    account(name: string): ClientAccount | undefined {
        return this.accountsByName.get(name);
    }

    route(name: string): Route | undefined {
        return this.routesByName.get(name);
    }

    pool(name: string): EndpointPool | undefined {
        return this.poolsByName.get(name);
    }

    model(name: string): Model | undefined {
        return this.modelsByName.get(name);
    }
}

function indexByName<T extends { readonly name: string; }>(items: readonly T[]): ReadonlyMap<string, T> {
    return new Map(items.map((item) => [item.name, item]));
}

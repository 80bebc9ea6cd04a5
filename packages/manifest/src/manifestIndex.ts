/**
 * A manifest indexed for look-up by the router and the agent.
 *
 * @module
 */
import type { ClientAccount, EndpointPool, Manifest, Model, Route } from "./manifest.js";

const digestPrefix = "sha256:";

/** Look-ups into one manifest; never changes after it is made. */
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
        this.accountsByName = byName(manifest.accounts);
        this.routesByName = byName(manifest.routes);
        this.poolsByName = byName(manifest.pools);
        this.modelsByName = byName(manifest.models);
    }

    /** The account that holds the key with this SHA-256, given as 64 hex digits. */
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

function byName<T extends { readonly name: string; }>(items: readonly T[]): ReadonlyMap<string, T> {
    return new Map(items.map((item) => [item.name, item]));
}

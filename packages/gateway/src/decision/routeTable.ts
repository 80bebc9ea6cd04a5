/**
 * Finds the route of a request by host and longest path prefix, and the account of a key by its digest.
 *
 * @module
 */
import { sha256Hex } from "@redwingpin/common";
import type {
    DirectAccount,
    DirectConfiguration,
    DirectRoute,
    DirectService,
    RouteTarget,
} from "@redwingpin/fleet";
import type { CacheStore } from "./prefixIndex.js";

/** Keys whose digests are remembered, so that a key is hashed once and not at each request. */
const maxRememberedKeys = 4_096;

/** Lookups in one configuration; made once for each version. */
export class RouteTable {
    private readonly routesByHost = new Map<string, DirectRoute[]>();
    private readonly services: ReadonlyMap<string, DirectService>;
    private readonly accountsByDigest = new Map<string, DirectAccount>();
    private readonly digests = new Map<string, string>();

    constructor(readonly configuration: DirectConfiguration) {
        for (const route of configuration.routes) {
            const host = route.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.prefix.length - left.prefix.length);
        }
        this.services = new Map(configuration.services.map((service) => [service.name, service]));
        for (const account of configuration.accounts) {
            for (const digest of account.keyDigests) {
                this.accountsByDigest.set(digest, account);
            }
        }
    }

    /** The route of a host and a path; a query is left out of the comparison. */
    findRoute(host: string | undefined, url: string): DirectRoute | undefined {
        const routes = this.routesByHost.get(hostName(host));
        const path = url.split("?", 1)[0];
        return routes?.find((route) => path.startsWith(route.prefix));
    }

    service(name: string): DirectService | undefined {
        return this.services.get(name);
    }

    /** Cache stores that engines can use. */
    cacheStores(): CacheStore[] {
        return this.configuration.services.flatMap(({ cacheStoreAddress: address, cacheTokens }) =>
            address === undefined ? [] : [{ address, tokens: cacheTokens ?? 0 }]
        );
    }

    /** True where accounts exist, so that routes which are not open need a key. */
    get hasAccounts(): boolean {
        return this.configuration.accounts.length > 0;
    }

    /** The account that holds a key. */
    findAccount(key: string): DirectAccount | undefined {
        let digest = this.digests.get(key);
        if (digest === undefined) {
            digest = sha256Hex(key);
            if (this.digests.size >= maxRememberedKeys) {
                this.digests.clear();
            }
            this.digests.set(key, digest);
        }
        return this.accountsByDigest.get(digest);
    }
}

/** Chooses one of a route's services by weight; `unit` is from 0 up to, not including, 1. */
export function chooseTarget(targets: readonly RouteTarget[], unit: number): string | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let left = unit * total;
    for (const target of targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return targets.at(-1)?.service;
}

function hostName(host: string | undefined): string {
    return (host ?? "").toLowerCase().replace(/:\d+$/, "");
}

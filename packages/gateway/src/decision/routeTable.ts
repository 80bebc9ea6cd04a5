/**
 * Finds the route of a request by host and longest path prefix, and the client account of a key by the key's digest.
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
import { accountWeights } from "./accountWeights.js";
import type { CacheStore } from "./prefixIndex.js";

/** Index of one configuration, built once for each version. */
export class RouteTable {
    private readonly routesByHost = new Map<string, DirectRoute[]>();
    private readonly services: ReadonlyMap<string, DirectService>;
    private readonly accountsByDigest = new Map<string, DirectAccount>();
    /**
     * Accounts by the keys that requests have shown, so that a key is not hashed for each request. Other keys are not
     * remembered: callers may send any number of them, of any length that a head may have.
     */
    private readonly accountsByKey = new Map<string, DirectAccount>();
    /** Weights of the accounts where they share scarce capacity. */
    readonly weights: ReadonlyMap<string, number>;

    constructor(readonly configuration: DirectConfiguration) {
        for (const route of configuration.routes) {
            const host = route.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.prefix.length - left.prefix.length);
        }
        this.weights = accountWeights(configuration.accounts);
        this.services = new Map(configuration.services.map((service) => [service.name, service]));
        for (const account of configuration.accounts) {
            for (const digest of account.keyDigests) {
                this.accountsByDigest.set(digest, account);
            }
        }
    }

    /** Finds the route by host and path; the query is ignored. */
    findRoute(host: string | undefined, url: string): DirectRoute | undefined {
        const routes = this.routesByHost.get(normalizeHost(host));
        const path = url.split("?", 1)[0];
        return routes?.find((route) => path.startsWith(route.prefix));
    }

    service(name: string): DirectService | undefined {
        return this.services.get(name);
    }

    /** Cache stores that engines can use. */
    cacheStores(): CacheStore[] {
        return this.configuration.services.flatMap((service) => {
            const { cacheStoreAddress: address, cacheTokens: tokens = 0, dataCentre } = service;
            const megabitsPerSecond = service.linkMegabitsPerSecond;
            return address === undefined ? [] : [{ address, tokens, dataCentre, megabitsPerSecond }];
        });
    }

    /** True if accounts are configured: routes that are not open then require a key. */
    get hasAccounts(): boolean {
        return this.configuration.accounts.length > 0;
    }

    /** The account that the key belongs to. */
    findAccount(key: string): DirectAccount | undefined {
        const known = this.accountsByKey.get(key);
        if (known !== undefined) {
            return known;
        }
        const account = this.accountsByDigest.get(sha256Hex(key));
        if (account !== undefined) {
            this.accountsByKey.set(key, account);
        }
        return account;
    }

    /** Number of keys that are remembered; at most that of the accounts' keys. */
    get rememberedKeys(): number {
        return this.accountsByKey.size;
    }
}

/** Selects one of a route's services by weight; `fraction` is at least 0 and less than 1. */
export function chooseTarget(targets: readonly RouteTarget[], fraction: number): string | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = fraction * total;
    for (const target of targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return targets.at(-1)?.service;
}

function normalizeHost(host: string | undefined): string {
    return (host ?? "").toLowerCase().replace(/:\d+$/, "");
}

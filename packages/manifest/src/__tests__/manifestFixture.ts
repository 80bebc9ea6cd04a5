import { sha256Hex } from "@redwingpin/common";
import fc from "fast-check";
import { EndpointKind, type Manifest, RouteKind, RoutePriority } from "../manifest.js";

/** Returns a small valid manifest with the given parts replaced. */
export function manifestFixture(overrides: Partial<Manifest> = {}): Manifest {
    return {
        models: [{
            name: "drafting",
            versions: [{ name: "v1", weights: "drafting-1", replicas: 2 }],
            adapters: ["polite"],
        }],
        pools: [
            {
                name: "engines",
                kind: EndpointKind.Engine,
                model: "drafting",
                checksSender: false,
                checksFencing: true,
            },
            { name: "registry", kind: EndpointKind.Service, checksSender: true, checksFencing: false },
        ],
        accounts: [
            {
                name: "maker",
                tokensPerSecond: 1000,
                burstTokens: 20_000,
                keys: [{ name: "first", digest: `sha256:${sha256Hex("maker-key")}` }],
            },
        ],
        routes: [
            {
                name: "drafting",
                kind: RouteKind.Model,
                access: { open: false, accounts: ["maker"] },
                priority: RoutePriority.Interactive,
                pool: "engines",
                idempotent: true,
                model: "drafting",
                version: "v1",
                adapter: "polite",
            },
            {
                name: "stamps",
                kind: RouteKind.Service,
                access: { open: true },
                priority: RoutePriority.Normal,
                pool: "registry",
                idempotent: false,
                callTokens: 10,
            },
        ],
        ...overrides,
    };
}

const accountName = fc.constantFrom("a", "b", "c", "d");

/** Random manifests that differ in accounts, keys and rates. */
export const manifestArbitrary: fc.Arbitrary<Manifest> = fc.uniqueArray(
    fc.record({
        name: accountName,
        tokensPerSecond: fc.integer({ min: 1, max: 5 }),
        burstTokens: fc.integer({ min: 16, max: 20 }),
        keys: fc.uniqueArray(fc.constantFrom("k1", "k2", "k3"), { maxLength: 3 }),
    }),
    { selector: (account) => account.name },
).map((accounts) => ({
    models: [],
    pools: [],
    routes: [],
    accounts: accounts.map((account) => ({
        ...account,
        keys: account.keys.map((name) => ({ name, digest: `sha256:${sha256Hex(account.name + name)}` })),
    })),
}));

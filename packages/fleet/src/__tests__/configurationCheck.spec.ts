import { expect } from "chai";
import {
    ChangeKind,
    checkConfiguration,
    checkVersion,
    configurationDifferences,
    Delivery,
    type DirectConfiguration,
    type DirectRoute,
    type DirectService,
    DirectServiceKind,
    Severity,
} from "../index.js";
import { accountFixture, configurationFixture } from "./fleetFixture.js";

const route: DirectRoute = {
    name: "r",
    host: "site.example",
    prefix: "/a/",
    targets: [{ service: "s", weight: 1 }],
    delivery: Delivery.Whole,
    repeatable: true,
    timeout: 2_000,
    targetLatency: 500,
    attempts: 2,
    priority: 1,
    open: false,
};
const service: DirectService = {
    name: "s",
    kind: DirectServiceKind.Engine,
    healthPath: "/health",
    maxConnections: 100,
    engine: { slots: 64, cacheTokens: 87_687, bytesPerToken: 18_432, models: ["m"] },
};
const account = { ...accountFixture("a", ["d1"]), tokensPerSecond: 1_000, burstTokens: 1_000 };
const base: DirectConfiguration = {
    ...configurationFixture(7),
    routes: [route],
    services: [service],
    accounts: [account],
};

// Guards against a configuration that is accepted although some of its entries have no or another effect than stated.
describe("check of a configuration", () => {
    const cases: [string, Partial<DirectConfiguration>, string[]][] = [
        ["no fault", {}, []],
        ["a route hidden by another", { routes: [route, { ...route, name: "q", host: "SITE.example" }] }, [
            "error routes[1]",
        ]],
        ["equal names", { routes: [route, { ...route, prefix: "/b/" }] }, ["error routes[1].name"]],
        ["a host with a port", { routes: [{ ...route, host: "site:80" }] }, ["error routes[0].host"]],
        ["a prefix that is no path", { routes: [{ ...route, prefix: "a/" }] }, ["error routes[0].prefix"]],
        ["a prefix without a last slash", { routes: [{ ...route, prefix: "/a" }] }, [
            "warning routes[0].prefix",
        ]],
        ["a target without a definition", { services: [] }, ["error routes[0].targets[0]"]],
        ["a target that serves no requests", {
            services: [{ ...service, kind: DirectServiceKind.CacheStore }],
        }, [
            "error routes[0].targets[0]",
        ]],
        ["a target without a weight", { routes: [{ ...route, targets: [{ service: "s", weight: 0 }] }] }, [
            "warning routes[0].targets[0]",
            "error routes[0].targets",
        ]],
        ["a negative weight", {
            routes: [{ ...route, targets: [...route.targets, { service: "s", weight: -1 }] }],
        }, ["error routes[0].targets[1]"]],
        ["a service without a route", { services: [service, { ...service, name: "t" }] }, [
            "warning services[1]",
        ]],
        ["a timeout of zero", { routes: [{ ...route, timeout: 0 }] }, ["error routes[0].timeout"]],
        ["a target latency above the timeout", { routes: [{ ...route, targetLatency: 2_001 }] }, [
            "error routes[0].targetLatency",
        ]],
        ["a target latency of zero", { routes: [{ ...route, targetLatency: 0 }] }, [
            "error routes[0].targetLatency",
        ]],
        ["no attempts", { routes: [{ ...route, attempts: 0 }] }, ["error routes[0].attempts"]],
        ["no connections", { services: [{ ...service, maxConnections: 0 }] }, [
            "error services[0].maxConnections",
        ]],
        ["fewer connections than slots", { services: [{ ...service, maxConnections: 63 }] }, [
            "warning services[0].maxConnections",
        ]],
        ["an engine without slots", {
            services: [{ ...service, engine: { slots: 0, cacheTokens: 1, bytesPerToken: 1, models: [] } }],
        }, ["error services[0].engine.slots"]],
        ["no accounts", { accounts: [] }, ["warning routes[0].open"]],
        ["an account without keys", { accounts: [{ ...account, keyDigests: [] }] }, ["warning accounts[0]"]],
        ["a key of two accounts", { accounts: [account, { ...account, name: "b" }] }, [
            "error accounts[0].keyDigests[0]",
        ]],
        ["a burst and a rate below one request", {
            accounts: [{ ...account, tokensPerSecond: 0.5, burstTokens: 0.5, countsRequests: true }],
        }, ["error accounts[0].burstTokens", "warning accounts[0].tokensPerSecond"]],
        ["a burst below a request without token counts", {
            accounts: [{ ...account, tokensPerPlainRequest: 1_000, burstTokens: 999 }],
        }, ["error accounts[0].burstTokens"]],
        ["a negative rate", { accounts: [{ ...account, tokensPerSecond: -1, burstTokens: 0 }] }, [
            "error accounts[0].tokensPerSecond",
        ]],
        ["a burst without a rate", { accounts: [{ ...account, tokensPerSecond: 0 }] }, [
            "warning accounts[0].burstTokens",
        ]],
        ["a body limit below the prompts of a route", { limits: { ...base.limits, bodyBytes: 1_369 } }, [
            "warning limits.bodyBytes",
        ]],
        ["a limit of zero", { limits: { ...base.limits, idleTimeout: 0 } }, ["error limits.idleTimeout"]],
    ];
    for (const [fault, change, expected] of cases) {
        it(`finds ${fault}`, () => {
            const findings = checkConfiguration({ ...base, ...change });
            expect(findings.map(({ severity, place }) => `${severity} ${place}`)).to.deep.equal(expected);
        });
    }

    // Guards against a submission that processes ignore because its version is not higher.
    it("finds a version that does not exceed the active one", () => {
        expect(checkVersion(base, base, false)).to.deep.equal([]);
        expect(checkVersion({ ...base, version: 8 }, base, true)).to.deep.equal([]);
        expect(checkVersion(base, base, true).map(({ severity }) => severity)).to.deep.equal([
            Severity.Error,
        ]);
        expect(checkVersion({ ...base, version: 6 }, base, false)).to.have.length(1);
    });
});

describe("differences of a configuration", () => {
    // Guards against differences that an operator does not see, and against digests of keys in the output.
    it("are those of routes, services, accounts and limits, without keys", () => {
        const differences = configurationDifferences(base, {
            ...base,
            routes: [{ ...route, timeout: 3_000 }, { ...route, name: "new" }],
            services: [],
            accounts: [{ ...account, keyDigests: ["d2", "d3"] }],
            limits: { ...base.limits, bodyBytes: 5 },
        });
        expect(differences).to.deep.equal([
            {
                list: "routes",
                name: "r",
                change: ChangeKind.Changed,
                fields: [{ field: "timeout", before: 2_000, after: 3_000 }],
            },
            { list: "routes", name: "new", change: ChangeKind.Added, fields: [] },
            { list: "services", name: "s", change: ChangeKind.Removed, fields: [] },
            {
                list: "accounts",
                name: "a",
                change: ChangeKind.Changed,
                fields: [],
                keys: { added: 2, removed: 1 },
            },
            {
                list: "limits",
                name: "bodyBytes",
                change: ChangeKind.Changed,
                fields: [{ field: "bodyBytes", before: 1_000_000, after: 5 }],
            },
        ]);
        expect(configurationDifferences(base, base)).to.deep.equal([]);
    });
});

import { FakeClock, RefusalReason, silentLogger } from "@redwingpin/common";
import { Delivery, DirectServiceKind, FactKind, FleetState, type ReplicaStatus } from "@redwingpin/fleet";
import type { HoldSettings } from "@redwingpin/scheduling";
import { expect } from "chai";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Registry } from "prom-client";
import {
    defaultEndpointModel,
    type EndpointState,
    EndpointTable,
    PrefixIndex,
    PrefixPlacement,
    RouteTable,
} from "../index.js";
import { EndpointSelection } from "../node/endpointSelection.js";
import { GatewayMetrics } from "../node/gatewayMetrics.js";
import { HeldRequests } from "../node/heldRequests.js";
import { RoomSearch } from "../node/roomSearch.js";
import { accountFixture, bodyFixture, endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const holding: HoldSettings = {
    enabled: true,
    fairShares: true,
    endpointQueue: 0,
    bounds: { requests: 10, bytes: 1_000 },
};

interface SiteOptions {
    readonly isEngine?: boolean;
    readonly slots?: number;
}

/** A router before two endpoints; `search` starts the search for a request of an account. */
function siteFixture({ isEngine = false, slots = 1 }: SiteOptions = {}) {
    const clock = new FakeClock(10_000);
    const state = new FleetState();
    const endpointTable = new EndpointTable(() => {});
    ["i-1", "i-2"].forEach((instance, index) => {
        const { endpoint } = endpointStateFixture(instance, { port: 9_000 + index, slots });
        state.applyFact({ kind: FactKind.Endpoint, revision: index + 1, instance, endpoint }, clock.now());
    });
    endpointTable.update(state);
    const [first, second] = endpointTable.ofService("drafting");
    const service = {
        name: "drafting",
        kind: isEngine ? DirectServiceKind.Engine : DirectServiceKind.Plain,
        healthPath: "/",
        maxConnections: 8,
    };
    const accounts = ["makers", "shops", "mills"].map((name) => accountFixture({ name }));
    const limits = { headerBytes: 10_000, bodyBytes: 10, headerTimeout: 1_000, idleTimeout: 1_000 };
    const route = {
        name: "drafts",
        host: "site.example",
        prefix: "/",
        targets: [{ service: "drafting", weight: 1 }],
        delivery: Delivery.Whole,
        repeatable: false,
        timeout: 5_000,
        targetLatency: 800,
        attempts: 1,
        priority: 3,
        open: false,
    };
    const table = new RouteTable({ version: 1, routes: [route], services: [service], accounts, limits });
    const held = new HeldRequests({ clock, settings: () => holding });
    const context = {
        clock,
        logger: silentLogger,
        metrics: new GatewayMetrics(new Registry()),
        held,
        random: () => 0,
        dataCentre: "hobart",
        endpointTable,
        endpointModel: () => ({ ...defaultEndpointModel, memory: true }),
        weightsBounds: () => ({ reducedWorthAfter: 1_500, worthReduction: 0.2, forbiddenAfter: 9_500 }),
        routerCount: () => 1,
    };
    const metadata = {
        attempt: "1",
        promptTokens: isEngine ? 1_000 : 0,
        outputTokens: isEngine ? 10 : 0,
        hasTokenCounts: isEngine,
        parts: [],
    };
    const prompt = { model: "drafting", scope: () => "scope", desiredWeights: undefined };
    const placement = new PrefixPlacement({
        prefixIndex: new PrefixIndex(),
        endpointStates: () => endpointTable.ofService("drafting"),
        model: "drafting",
        parts: [],
        scope: prompt.scope,
        megabitsPerSecond: undefined,
        bytesPerToken: 0,
    });
    const search = (name: string, timeout = 5_000) => {
        const request = {
            metadata,
            table,
            route,
            service,
            account: accounts.find((account) => account.name === name),
            method: "POST",
            url: "/",
            rawHeaders: [],
            body: bodyFixture(),
            arrival: clock.now(),
            deadline: clock.now() + timeout,
            fingerprint: "",
            tokens: 0,
        };
        const selection = new EndpointSelection(context, {
            request,
            tried: new Set(),
            prompt: isEngine ? prompt : undefined,
            placement: isEngine ? placement : undefined,
            versions: undefined,
        });
        const response = new ServerResponse(new IncomingMessage(new Socket()));
        return new RoomSearch(context, request, response, selection).find();
    };
    const report = (endpointState: EndpointState, more: Partial<ReplicaStatus>) => {
        const { host, port } = endpointState.endpoint;
        const status = { address: `${host}:${port}`, cacheTotal: 100_000, ...more };
        endpointState.observeStatus(statusFixture(1, status), clock.now());
    };
    return { clock, first, held, report, search, second };
}

/** Instance of the endpoint that was found, or what was found instead. */
async function outcomeOf(search: ReturnType<ReturnType<typeof siteFixture>["search"]>): Promise<string> {
    const found = await search;
    switch (found.kind) {
        case "chosen":
            return found.choice.endpointState.endpoint.instance;
        case "refused":
            return found.reason;
        default:
            return found.kind;
    }
}

describe("the search for an endpoint with room", () => {
    // Guards against requests that are held or rejected although an endpoint has a free slot.
    it("finds the free slots one after the other, and holds the next request", async () => {
        const { clock, held, search } = siteFixture();
        const found = [await outcomeOf(search("makers")), await outcomeOf(search("shops"))];
        expect(found.sort()).to.deep.equal(["i-1", "i-2"]);
        const third = outcomeOf(search("mills"));
        expect(held.length).to.equal(1);
        clock.advance(110);
        expect(await third).to.be.oneOf(["i-1", "i-2"]);
    });

    // Guards against accounts that take scarce capacity from others by sending more.
    it("refuses only an account above its share, once it has waited in vain", async () => {
        const { clock, first, held, search, second } = siteFixture();
        first.running = 1;
        second.running = 1;
        held.work.record("makers", 10_000, clock.now());
        held.work.record("shops", 1_000, clock.now());
        held.work.record("mills", 1_000, clock.now());
        const searches = [outcomeOf(search("makers")), outcomeOf(search("shops"))];
        clock.advance(95);
        expect(held.length).to.equal(2);
        clock.advance(15);
        const [makers, shops] = await Promise.all(searches);
        expect(makers).to.equal(RefusalReason.QueueFull);
        expect(shops).to.be.oneOf(["i-1", "i-2"]);
    });

    // Guards against requests that preempt running ones although another engine has memory for them.
    it("finds the engine that has memory for a prompt, and holds a prompt for which none has", async () => {
        const { clock, first, held, report, search, second } = siteFixture({ isEngine: true, slots: 64 });
        report(first, { running: 10, cacheUsed: 99_900 });
        report(second, { running: 10, cacheUsed: 20_000 });
        expect(await outcomeOf(search("makers"))).to.equal("i-2");
        report(second, { running: 10, cacheUsed: 99_900 });
        const next = outcomeOf(search("makers"));
        expect(held.length).to.equal(1);
        report(first, { running: 3, cacheUsed: 10_000 });
        clock.advance(20);
        expect(await next).to.equal("i-1");
    });

    // Guards against prompts that wait at a router until their time limit although no engine can start them by then.
    it("refuses a prompt at once whose time limit no engine can meet", async () => {
        const { first, held, search, second } = siteFixture({ isEngine: true, slots: 64 });
        [first, second].forEach((endpointState) => endpointState.waitingTokens = 25 * 10_000);
        expect(await outcomeOf(search("makers", 1_000))).to.equal(RefusalReason.DeadlineExceeded);
        expect(held.length).to.equal(0);
    });
});

import { listenOn, seededRandom, silentLogger, systemClock } from "@redwingpin/common";
import {
    CrashTracker,
    Delivery,
    type DirectConfiguration,
    type DirectRoute,
    DirectServiceKind,
    FactKind,
    FleetState,
} from "@redwingpin/fleet";
import { holdNothing, type HoldSettings } from "@redwingpin/scheduling";
import { ok } from "neverthrow";
import { createServer, request as httpRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { Registry } from "prom-client";
import {
    AnswerBuffers,
    defaultEndpointModel,
    DemandTracker,
    EndpointTable,
    FleetRetryBudget,
    type HeaderCodec,
    PrefixIndex,
    type RawHeaders,
    RouteTable,
} from "../index.js";
import { CrashProbe } from "../node/crashProbe.js";
import { EndpointConnections } from "../node/endpointConnections.js";
import { EndpointPermits } from "../node/endpointPermits.js";
import { GatewayMetrics } from "../node/gatewayMetrics.js";
import { HeldRequests } from "../node/heldRequests.js";
import { LossProbe } from "../node/lossProbe.js";
import { serveRequest } from "../node/requestTask.js";
import { bodyFixture } from "./gatewayFixture.js";
import type { RawEndpoint } from "./rawEndpointFixture.js";

function fieldOf(headers: RawHeaders, name: string): string | undefined {
    const index = headers.indexOf(name);
    return index < 0 ? undefined : headers[index + 1];
}

/**
 * All answers are sealed; the field x-not-run states that the request has not run, and x-unexpected makes the codec throw.
 */
const headerCodec: HeaderCodec = {
    readRequest: () =>
        ok({ attempt: "", promptTokens: 0, outputTokens: 0, hasTokenCounts: false, parts: [] }),
    endpointHeaders: (caller, { lastEvent }) =>
        lastEvent === undefined ? [...caller] : [...caller, "last-event-id", lastEvent],
    readAnswer: (headers) => {
        if (fieldOf(headers, "x-unexpected") !== undefined) {
            throw new Error("unexpected field");
        }
        return {
            attempt: fieldOf(headers, "x-attempt"),
            sealed: true,
            notRun: fieldOf(headers, "x-not-run") !== undefined,
            signals: { leaving: false, unusable: [] },
        };
    },
    ownAnswerHeaders: () => ({}),
};

/** Route of calls that may not be repeated. */
const unrepeatableRoute: DirectRoute = {
    name: "stamps",
    host: "site.example",
    prefix: "/",
    targets: [{ service: "registry", weight: 1 }],
    delivery: Delivery.Whole,
    repeatable: false,
    timeout: 2_000,
    targetLatency: 100,
    attempts: 1,
    priority: 0,
    open: true,
};

/** Route of streams that another endpoint may continue. */
export const resumableRoute: Partial<DirectRoute> = {
    delivery: Delivery.EventStream,
    repeatable: true,
    attempts: 2,
};

/** Answer to a caller, as far as it was received. */
export interface ReceivedAnswer {
    /** Absent if the connection closed without an answer. */
    readonly status?: number;
    readonly text: string;
    readonly isComplete: boolean;
}

/** Limit of the answers that a router buffers. */
const maxBufferedAnswerBytes = 30_000_000;

/** A router before the given endpoints; `call` resolves with the caller's answer. */
export async function routerFixture(
    endpoints: readonly RawEndpoint[],
    more: Partial<DirectRoute> = {},
    endpointModel = defaultEndpointModel,
    hold: HoldSettings = holdNothing,
) {
    const route = { ...unrepeatableRoute, ...more };
    const configuration: DirectConfiguration = {
        version: 1,
        routes: [route],
        services: [{ name: "registry", kind: DirectServiceKind.Plain, healthPath: "/", maxConnections: 8 }],
        accounts: [],
        limits: { headerBytes: 10_000, bodyBytes: 10, headerTimeout: 1_000, idleTimeout: 1_000 },
    };
    const state = new FleetState();
    const endpointTable = new EndpointTable(() => {});
    const connections = new EndpointConnections();
    endpoints.forEach(({ endpoint }, index) => {
        const instance = `raw-${index}`;
        const registered = { ...endpoint, instance, service: "registry" };
        state.applyFact(
            { kind: FactKind.Endpoint, revision: index + 1, instance, endpoint: registered },
            systemClock.now(),
        );
    });
    endpointTable.update(state);
    const lossProbe = new LossProbe({ clock: systemClock, logger: silentLogger, endpointTable });
    const table = new RouteTable(configuration);
    const held = new HeldRequests({ clock: systemClock, settings: () => hold });
    const context = {
        clock: systemClock,
        logger: silentLogger,
        headerCodec,
        dataCentre: "hobart",
        state,
        endpointTable,
        prefixIndex: new PrefixIndex(),
        connections,
        permits: new EndpointPermits({
            clock: systemClock,
            logger: silentLogger,
            random: seededRandom(1),
            ownName: "router",
            liveRouterNames: () => ["router"],
            unresponsiveRouterCount: () => 0,
            askRouter: () => Promise.resolve(undefined),
        }),
        answerBuffers: new AnswerBuffers(maxBufferedAnswerBytes),
        crashProbe: new CrashProbe(),
        retryBudget: new FleetRetryBudget({ ratio: 0.2, window: 10_000, slack: 10 }),
        crashTracker: new CrashTracker(),
        demandTracker: new DemandTracker(),
        held,
        weightsBounds: () => ({ reducedWorthAfter: 1_500, worthReduction: 0.2, forbiddenAfter: 9_500 }),
        endpointModel: () => endpointModel,
        metrics: new GatewayMetrics(new Registry()),
        routerCount: () => 1,
        random: () => 0,
    };
    const server = createServer((request, response) => {
        const arrival = systemClock.now();
        const attempt = String(request.headers["x-attempt"]);
        void serveRequest(context, {
            metadata: { attempt, promptTokens: 0, outputTokens: 0, hasTokenCounts: false, parts: [] },
            table,
            route,
            service: configuration.services[0],
            account: undefined,
            method: "GET",
            url: "/",
            rawHeaders: ["x-attempt", attempt],
            body: bodyFixture(),
            arrival,
            deadline: arrival + route.timeout,
            fingerprint: attempt,
            tokens: 0,
        }, response).catch(() => void response.writeHead(500).end());
    });
    await listenOn(server, "127.0.0.1", 0);
    const { port } = server.address() as AddressInfo;
    return {
        call: (attempt: string) => callRouter(port, attempt),
        port,
        held,
        /** Applies the removal of an endpoint's registration, as the gateway does. */
        unregister: (index: number) => {
            state.applyFact({
                kind: FactKind.Endpoint,
                revision: endpoints.length + 1 + index,
                instance: `raw-${index}`,
                endpoint: undefined,
            }, systemClock.now());
            endpointTable.update(state);
            lossProbe.run();
        },
        /** Checks the responses of the endpoints, as the gateway does at intervals. */
        checkResponses: () => {
            const random = () => 1;
            return endpointModel.unresponsiveness
                ? endpointTable.checkResponses(systemClock.now(), 1, random)
                : [];
        },
        stop: () => {
            held.stop();
            connections.stop();
            server.close();
            server.closeAllConnections();
        },
    };
}

function callRouter(port: number, attempt: string): Promise<ReceivedAnswer> {
    return new Promise((resolve) => {
        let text = "";
        const request = httpRequest(
            { host: "127.0.0.1", port, agent: false, headers: { "x-attempt": attempt } },
            (response) => {
                const end = () =>
                    resolve({ status: response.statusCode, text, isComplete: response.complete });
                response.on("data", (data: Buffer) => text += data.toString());
                response.on("error", end);
                response.on("end", end);
            },
        );
        request.on("error", () => resolve({ text, isComplete: false }));
        request.end();
    });
}

/** A whole answer of an endpoint. */
export function answer(attempt: string, text: string): string {
    return `HTTP/1.1 200 OK\r\nx-attempt: ${attempt}\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

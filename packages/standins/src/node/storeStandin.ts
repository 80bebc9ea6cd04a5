/**
 * Stand-in for the platform's key-value store: an in-memory subset of etcd's version 3 JSON gateway.
 *
 * Control paths: `POST /control/outage {"mode": "down" | "slow" | "loseAnswers" | "up", "delay"?: milliseconds}` and
 * `GET /control/counts`. In mode `down` the store's port is closed. In mode `slow` each call is delayed before it
 * takes effect. In mode `loseAnswers` each call except range and watch takes effect, but its connection is closed
 * without an answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    HttpListener,
    pathOf,
    readJson,
    sendJson,
    sleep,
    type Standin,
    type StandinOptions,
} from "./httpListener.js";
import { type StoreRequest, StoreState } from "./storeState.js";

/** Simulated faults; `Up` is none. */
export enum StoreMode {
    Down = "down",
    Slow = "slow",
    LoseAnswers = "loseAnswers",
    Up = "up",
}

/** Kinds of calls that are counted. A watch counts once, when it is created. */
export enum StoreCall {
    Range = "range",
    Put = "put",
    DeleteRange = "deleteRange",
    Transaction = "txn",
    LeaseGrant = "leaseGrant",
    LeaseKeepAlive = "leaseKeepAlive",
    Watch = "watch",
}

const callsByPath: Readonly<Record<string, StoreCall>> = {
    "/v3/kv/range": StoreCall.Range,
    "/v3/kv/put": StoreCall.Put,
    "/v3/kv/deleterange": StoreCall.DeleteRange,
    "/v3/kv/txn": StoreCall.Transaction,
    "/v3/lease/grant": StoreCall.LeaseGrant,
    "/v3/lease/keepalive": StoreCall.LeaseKeepAlive,
    "/v3/watch": StoreCall.Watch,
};

const defaultSlowMilliseconds = 3_000;

interface WatchRequest {
    readonly create_request: StoreRequest & { readonly start_revision?: string; };
}

interface LeaseRequest {
    readonly TTL: string;
    readonly ID: string;
}

interface OutageRequest {
    readonly mode: StoreMode;
    readonly delay: number;
}

export async function startStoreStandin(options: StandinOptions = {}): Promise<Standin> {
    const standin = new StoreStandin(options);
    await standin.start();
    return standin;
}

class StoreStandin implements Standin {
    private readonly state = new StoreState();
    private readonly listener: HttpListener;
    private readonly control: HttpListener;
    private readonly watchers = new Set<() => void>();
    private readonly callCounts = new Map(Object.values(StoreCall).map((call) => [call, 0]));
    private mode = StoreMode.Up;
    private delay = defaultSlowMilliseconds;

    constructor(options: StandinOptions) {
        this.listener = new HttpListener(
            options.port ?? 0,
            (request, response) => this.serve(request, response),
        );
        this.control = new HttpListener(
            options.controlPort ?? 0,
            (request, response) => this.serveControl(request, response),
        );
        this.state.onChange = () => this.watchers.forEach((sendChanges) => sendChanges());
    }

    get address(): string {
        return this.listener.address;
    }

    get controlAddress(): string {
        return this.control.address;
    }

    async start(): Promise<void> {
        await this.listener.open();
        await this.control.open();
    }

    async stop(): Promise<void> {
        this.state.stop();
        await this.listener.close();
        await this.control.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const call = callsByPath[pathOf(request)];
        if (call === undefined || request.method !== "POST") {
            sendJson(response, 404, { code: 5, message: "Not Found" });
            return;
        }
        this.callCounts.set(call, this.callCounts.get(call)! + 1);
        const body = await readJson<StoreRequest & WatchRequest & LeaseRequest>(request);
        if (this.mode === StoreMode.Slow) {
            await sleep(this.delay);
        }
        if (call === StoreCall.Watch) {
            this.watch(body.create_request, response);
            return;
        }
        const answer = this.apply(call, body);
        if (this.mode === StoreMode.LoseAnswers && call !== StoreCall.Range) {
            response.destroy();
            return;
        }
        sendJson(response, 200, answer);
    }

    private apply(
        call: Exclude<StoreCall, StoreCall.Watch>,
        body: StoreRequest & Partial<LeaseRequest>,
    ): object {
        switch (call) {
            case StoreCall.Range:
                return this.state.range(body);
            case StoreCall.Put:
                return this.state.put(body);
            case StoreCall.DeleteRange:
                return this.state.deleteRange(body);
            case StoreCall.Transaction:
                return this.state.txn(body);
            case StoreCall.LeaseGrant:
                return this.state.grantLease(Number(body.TTL));
            case StoreCall.LeaseKeepAlive:
                return this.state.keepAlive(String(body.ID));
        }
    }

    private watch(request: WatchRequest["create_request"] | undefined, response: ServerResponse): void {
        if (!request?.key) {
            throw new Error("create_request must have a key");
        }
        let nextRevision = Number(request.start_revision ?? this.state.nextRevision());
        const send = (result: object) => response.write(`${JSON.stringify({ result })}\n`);
        const sendChanges = () => {
            const events = this.state.eventsSince(request, nextRevision);
            if (!events) {
                send({ header: this.state.header(), canceled: true, compact_revision: String(nextRevision) });
                response.end();
                return;
            }
            nextRevision = Math.max(nextRevision, this.state.nextRevision());
            if (events.length > 0) {
                send({ header: this.state.header(), events });
            }
        };
        response.writeHead(200, { "content-type": "application/json" });
        send({ header: this.state.header(), created: true });
        this.watchers.add(sendChanges);
        response.once("close", () => this.watchers.delete(sendChanges));
        sendChanges();
    }

    private async serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (`${request.method} ${pathOf(request)}`) {
            case "GET /control/counts":
                sendJson(response, 200, {
                    ...Object.fromEntries(this.callCounts),
                    waitingWatches: this.watchers.size,
                });
                return;
            case "POST /control/outage":
                await this.setOutage(await readJson<OutageRequest>(request));
                sendJson(response, 200, { mode: this.mode });
                return;
            default:
                sendJson(response, 404, { message: "no such control path" });
        }
    }

    private async setOutage(request: Partial<OutageRequest>): Promise<void> {
        const mode = Object.values(StoreMode).find((member) => member === request.mode);
        if (mode === undefined) {
            throw new Error(`mode must be one of ${Object.values(StoreMode).join(", ")}`);
        }
        this.mode = mode;
        this.delay = request.delay ?? defaultSlowMilliseconds;
        await (mode === StoreMode.Down ? this.listener.close() : this.listener.open());
    }
}

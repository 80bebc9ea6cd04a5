/**
 * Stand-in for a model engine with an OpenAI-compatible HTTP interface.
 *
 * Interface: `POST /v1/completions`, `POST /v1/chat/completions` (JSON, or server-sent events with one token each),
 * `GET /v1/models`, `GET /health`, `GET /load` (updated periodically), `GET /cache/events` (server-sent events that can
 * be delayed and dropped) and `POST /orders`. `GET /health` returns the incarnation and the names of the loaded weights
 * and adapters. A request with `"resume": {"after_tokens": N}` continues the same answer at token N.
 *
 * Control paths: `POST /control/delay {"firstToken", "betweenTokens"}` in milliseconds, `GET /control/seen`,
 * `GET /control/work`, `GET /control/health`, `GET /control/orders` and `POST /control/crash`.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CacheEventStream } from "./cacheEventStream.js";
import { CompletionRunner } from "./completionRunner.js";
import { type CompletionRequest, planCompletion } from "./completionText.js";
import {
    type EngineStandinOptions,
    type ResolvedEngineOptions,
    resolveEngineOptions,
} from "./engineOptions.js";
import { EngineOrders, type Order } from "./engineOrders.js";
import {
    disconnectSignal,
    HttpListener,
    parseJson,
    pathOf,
    readBody,
    readJson,
    sendJson,
    type Standin,
} from "./httpListener.js";
import { PrefixBlockCache } from "./prefixBlockCache.js";
import { RequestLog } from "./requestLog.js";

export async function startEngineStandin(options: EngineStandinOptions = {}): Promise<Standin> {
    const standin = new EngineStandin(resolveEngineOptions(options));
    await standin.start();
    return standin;
}

interface DelayRequest {
    readonly firstToken: number;
    readonly betweenTokens: number;
}

class EngineStandin implements Standin {
    private readonly incarnation = randomUUID();
    private readonly listener: HttpListener;
    private readonly control: HttpListener;
    private readonly events: CacheEventStream;
    private readonly cache: PrefixBlockCache;
    private readonly orders: EngineOrders;
    private readonly completions: CompletionRunner;
    private readonly completionRequests = new RequestLog();
    /** Recorded separately, so that frequent probes do not displace completions from the log. */
    private readonly otherRequests = new RequestLog();
    private loadReport: object = {};
    private loadTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ResolvedEngineOptions) {
        const streamOptions = {
            delayMilliseconds: options.eventLagMilliseconds,
            dropEvery: options.loseEventEvery,
        };
        this.events = new CacheEventStream(streamOptions, this.incarnation);
        this.cache = new PrefixBlockCache(
            options.cacheBlocks,
            options.blockTokens,
            (event) => this.events.publish(event),
        );
        this.completions = new CompletionRunner(options, this.cache);
        this.orders = new EngineOrders(
            { ...options, senders: options.senders, weightStoreAddress: options.weightStoreAddress },
            () => this.unload(),
        );
        this.listener = new HttpListener(options.port, (request, response) => this.serve(request, response));
        this.control = new HttpListener(
            options.controlPort,
            (request, response) => this.serveControl(request, response),
        );
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
        this.loadReport = this.measureLoad();
        this.loadTimer = setInterval(
            () => this.loadReport = this.measureLoad(),
            this.options.loadLagMilliseconds,
        );
    }

    async stop(): Promise<void> {
        clearInterval(this.loadTimer);
        this.completions.abortAll();
        this.events.stop();
        await this.listener.close();
        await this.control.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        const path = pathOf(request);
        const isCompletion = path.endsWith("/completions");
        (isCompletion ? this.completionRequests : this.otherRequests).add(request, body);
        switch (`${request.method} ${path}`) {
            case "POST /v1/completions":
            case "POST /v1/chat/completions":
                Object.entries(this.options.statedHeaders).forEach(([name, value]) =>
                    response.setHeader(name, value)
                );
                await this.complete(parseJson<CompletionRequest>(body), path.includes("/chat/"), response);
                return;
            case "GET /v1/models":
                sendJson(response, 200, { object: "list", data: this.listModels() });
                return;
            case "GET /health":
                sendJson(response, 200, this.reportHealth());
                return;
            case "GET /load":
                sendJson(response, 200, this.loadReport);
                return;
            case "GET /cache/events":
                this.events.addSubscriber(response);
                return;
            case "POST /orders":
                await this.executeOrder(parseJson<Order>(body), response);
                return;
            default:
                sendError(response, 404, `no resource at ${request.method} ${path}`);
        }
    }

    private async complete(
        request: CompletionRequest,
        isChat: boolean,
        response: ServerResponse,
    ): Promise<void> {
        const { weights } = this.orders;
        const plan = planCompletion(request, isChat);
        if (this.options.crashMarker && plan.prompt.includes(this.options.crashMarker)) {
            this.options.onCrash();
            return;
        }
        if (weights === undefined) {
            sendError(response, 503, "weights are loading");
            return;
        }
        const adapter = this.orders.adapters.has(request.model ?? "") ? request.model! : "";
        await this.completions.run(
            { request, plan, isChat, weights, adapter },
            response,
            disconnectSignal(response),
        );
    }

    private async executeOrder(order: Partial<Order>, response: ServerResponse): Promise<void> {
        const answer = await this.orders.execute(order);
        sendJson(response, answer.status, answer.body);
    }

    private unload(): void {
        this.completions.abortAll();
        this.cache.clear();
    }

    private listModels(): object[] {
        const names = [this.orders.weights, ...this.orders.adapters].filter((name) => name !== undefined);
        return names.map((id) => ({ id, object: "model", owned_by: "stand-in" }));
    }

    private reportHealth(): object {
        const { weights, adapters, role } = this.orders;
        const status = weights === undefined ? "loading" : "ok";
        return { status, incarnation: this.incarnation, weights, adapters: [...adapters], role };
    }

    private measureLoad(): object {
        return {
            incarnation: this.incarnation,
            ...this.completions.reportLoad(),
            cached_blocks: this.cache.size,
            cache_capacity_blocks: this.options.cacheBlocks,
        };
    }

    private async serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (`${request.method} ${pathOf(request)}`) {
            case "GET /control/seen":
                sendJson(response, 200, {
                    ...this.completionRequests.report(),
                    probes: this.otherRequests.report(),
                });
                return;
            case "GET /control/work":
                sendJson(response, 200, this.completions.counts);
                return;
            case "GET /control/health":
                sendJson(response, 200, this.reportHealth());
                return;
            case "GET /control/orders":
                sendJson(response, 200, this.orders.records);
                return;
            case "POST /control/delay": {
                const delay = await readJson<DelayRequest>(request);
                this.completions.setDelay(delay.firstToken, delay.betweenTokens);
                sendJson(response, 200, delay);
                return;
            }
            case "POST /control/crash":
                this.options.onCrash();
                return;
            default:
                sendError(response, 404, "no such control path");
        }
    }
}

function sendError(response: ServerResponse, status: number, message: string): void {
    sendJson(response, status, { error: { message, type: "invalid_request_error", code: status } });
}

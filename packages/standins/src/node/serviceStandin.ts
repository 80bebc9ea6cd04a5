/**
 * Stand-in for a service. Every request but `/health` is an execution, which is recorded before it is answered.
 * A path that ends in `/status/NNN` is answered with that status, and one that ends in `/bytes/N` with N bytes.
 *
 * Control paths: `GET /control/executions`, `GET /control/seen` and `POST /control/delay {"answer": milliseconds}`.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    HttpListener,
    pathOf,
    readBody,
    readJson,
    sendJson,
    sleep,
    type Standin,
    type StandinOptions,
} from "./httpListener.js";
import { RequestLog } from "./requestLog.js";

export interface Execution {
    /** Number in order of execution, from 0. */
    readonly number: number;
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** Options of {@link startServiceStandin}. */
export interface ServiceStandinOptions extends StandinOptions {
    /**
     * Delay between an execution and its answer, in milliseconds.
     * @default 0
     */
    readonly answerMilliseconds?: number;
}

export async function startServiceStandin(options: ServiceStandinOptions = {}): Promise<Standin> {
    const standin = new ServiceStandin(options);
    await standin.start();
    return standin;
}

class ServiceStandin implements Standin {
    private readonly listener: HttpListener;
    private readonly control: HttpListener;
    private readonly executions: Execution[] = [];
    private readonly receivedRequests = new RequestLog();
    private answerMilliseconds: number;

    constructor(options: ServiceStandinOptions) {
        this.answerMilliseconds = options.answerMilliseconds ?? 0;
        this.listener = new HttpListener(
            options.port ?? 0,
            (request, response) => this.serve(request, response),
        );
        this.control = new HttpListener(
            options.controlPort ?? 0,
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
    }

    async stop(): Promise<void> {
        await this.listener.close();
        await this.control.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        const { method, path } = this.receivedRequests.add(request, body);
        if (path === "/health") {
            sendJson(response, 200, { status: "ok" });
            return;
        }
        const execution: Execution = {
            number: this.executions.length,
            method,
            path,
            body: body.toString("utf8"),
        };
        this.executions.push(execution);
        await sleep(this.answerMilliseconds);
        sendAnswer(response, execution);
    }

    private async serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (`${request.method} ${pathOf(request)}`) {
            case "GET /control/executions":
                sendJson(response, 200, this.executions);
                return;
            case "GET /control/seen":
                sendJson(response, 200, this.receivedRequests.report());
                return;
            case "POST /control/delay":
                this.answerMilliseconds = Number((await readJson<{ answer: number; }>(request)).answer ?? 0);
                sendJson(response, 200, { answer: this.answerMilliseconds });
                return;
            default:
                sendJson(response, 404, { message: "no such control path" });
        }
    }
}

function sendAnswer(response: ServerResponse, execution: Execution): void {
    const bytes = /\/bytes\/(\d+)$/.exec(execution.path);
    if (bytes) {
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(Buffer.alloc(Number(bytes[1]), "redwingpin "));
        return;
    }
    const status = /\/status\/([2-5]\d\d)$/.exec(execution.path);
    sendJson(response, Number(status?.[1] ?? 200), {
        execution: execution.number,
        method: execution.method,
        path: execution.path,
        bodyDigest: createHash("sha256").update(execution.body).digest("hex"),
    });
}

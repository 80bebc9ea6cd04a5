/**
 * Stand-in for a replica: checks the instance and the version of the weights, seals its answers, reports its state,
 * carries out orders, and registers itself in the store. A case replaces `serve` where a replica of it behaves otherwise.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const heartbeatInterval = 1_200;

/** Time in which a replica loads weights. */
export const loadTime = 1_200;

export class Replica {
    runs = [];
    orders = [];
    state = "ready";
    sequence = 0;
    acceptedOrders = 0;
    isBusy = false;
    running = 0;

    /**
     * `options`: `instance`, `service`, `host`, `record`, `store`; optionally `port`, `models` (names and versions),
     * `workTime`, and `serve`, which answers a request that has passed the checks.
     */
    constructor(options) {
        this.options = options;
        this.models = (options.models ?? []).map((model) => ({ adapters: [], ...model }));
        this.born = Date.now();
        this.serve = options.serve ?? answerWhole;
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    get instance() {
        return this.options.instance;
    }

    get address() {
        return `${this.options.host}:${this.port}`;
    }

    async start() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port ?? 0, this.options.host, resolve);
        });
        this.port = this.server.address().port;
        this.register();
        this.heartbeat = setInterval(() => this.register(), heartbeatInterval);
        return this;
    }

    /** Writes the replica's entry, unless it was removed. */
    register() {
        if (this.isRemoved) {
            return;
        }
        this.sequence += 1;
        this.options.store.write(`servers/${this.instance}`, {
            service: this.options.service,
            address: this.address,
            zone: "hobart",
            version: "v1",
            slots: this.options.slots ?? 64,
            state: this.state,
            coldRemainingMs: 0,
            sequence: this.sequence,
            born: this.born,
            ...this.models.length > 0 && { stage: "prefill_decode", models: this.models },
        });
    }

    /** Ends the replica as a crash does: every channel is reset and nothing listens any more. */
    crash() {
        clearInterval(this.heartbeat);
        this.isGone = true;
        this.server.closeAllConnections();
        this.server.close();
    }

    stop() {
        this.crash();
    }

    async handle(request, response) {
        const chunks = [];
        response.on("error", () => {});
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const body = Buffer.concat(chunks).toString();
        if (request.url === "/-/report") {
            this.sendJson(response, 200, this.report());
        }
        else if (request.url === "/-/order") {
            this.takeOrder(JSON.parse(body), response);
        }
        else {
            this.run(request, body, response);
        }
    }

    report() {
        return {
            stage: "prefill_decode",
            models: this.models,
            busy: this.isBusy,
            sequence: this.acceptedOrders,
            queued: 0,
            running: this.running,
            kvUsed: 0,
            kvTotal: 87_687,
            handles: 0,
            pinned: 0,
            held: 0,
            state: this.state,
            next: 0,
            runs: [],
            born: this.born,
        };
    }

    takeOrder(order, response) {
        const { expected, fencingToken, holder, model, operation, version } = order;
        this.options.record.write("order", {
            replica: this.instance,
            holder,
            fencingToken,
            operation,
            model,
            version,
            expected,
        });
        if (this.isBusy || (expected !== undefined && expected !== this.acceptedOrders)) {
            this.sendJson(response, 409, {});
            return;
        }
        this.orders.push(order);
        this.acceptedOrders += 1;
        this.isBusy = true;
        setTimeout(() => {
            this.isBusy = false;
            this.models = this.models.map((entry) => entry.name === model ? { ...entry, version } : entry);
            this.options.record.write("loaded", { replica: this.instance, model, version });
            this.register();
        }, loadTime);
        this.sendJson(response, 202, {});
    }

    run(request, body, response) {
        const { headers } = request;
        const id = headers["redwingpin-request-attempt-id"];
        response.setHeader("Redwingpin-Request-Attempt-Id", id ?? "");
        const model = this.models.find(({ name }) => name === headers["redwingpin-model"]);
        const expected = headers["redwingpin-expected-version"];
        const target = headers["redwingpin-target-instance"];
        if (
            (target !== undefined && target !== this.instance)
            || (expected !== undefined && Number(expected) !== model?.version)
        ) {
            response.setHeader("Redwingpin-Not-Executed", "1");
            response.writeHead(421).end();
            return;
        }
        this.options.record.write("arrives", { replica: this.instance, id });
        this.runs.push({ id, at: Date.now() });
        response.setHeader("Redwingpin-Response-Seal", `${this.instance}.${id}`);
        if (model !== undefined) {
            response.setHeader("Redwingpin-Weight-Versions", String(model.version));
        }
        this.serve({ replica: this, id, headers, body, request }, response);
    }

    sendJson(response, status, value) {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(value));
    }
}

/** Answers with a whole body after the time of work. */
export function answerWhole({ id, replica }, response) {
    setTimeout(() => {
        const body = `${replica.instance} has run ${id}`;
        response.writeHead(200, { "content-length": Buffer.byteLength(body) });
        response.end(body);
    }, replica.options.workTime ?? 20);
}

/** Streams events with increasing identifiers. */
export function streamEvents({ headers, replica }, response) {
    const last = replica.options.events ?? 10;
    let event = Number(headers["last-event-id"] ?? 0);
    response.writeHead(200, { "content-type": "text/event-stream" });
    const timer = setInterval(() => {
        event += 1;
        response.write(`id: ${event}\ndata: ${event}\n\n`);
        if (event >= last) {
            clearInterval(timer);
            response.end();
        }
    }, replica.options.eventInterval ?? 20);
    response.on("close", () => clearInterval(timer));
}

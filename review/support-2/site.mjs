/**
 * A small deployment on loopback: the programs of the deploy file as processes, a store of the platform, and replicas.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as httpRequest } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

/** Root of the repository. */
const root = resolve(import.meta.dirname, "../..");

/** A whole settings file, with the bounds of the small sites. */
const bounds = `[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 110000
recoveryS = 12
transitMs = 120
retryAfterS = 10
fencingEnforced = false
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
`;

export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

/** Waits until a condition holds; rejects after `timeout`. */
export async function until(description, condition, timeout = 15_000) {
    const end = Date.now() + timeout;
    while (!await condition()) {
        if (Date.now() > end) {
            throw new Error(`not within ${timeout} ms: ${description}`);
        }
        await sleep(20);
    }
}

/** Returns a free port of a loopback address. */
export function freePort(host = "127.0.0.1") {
    return new Promise((done, fail) => {
        const server = createNetServer();
        server.once("error", fail);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });
}

/** Command and environment of a role in the deploy file. */
function deployedRole(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1].split("[roles.")[0];
    const run = /^run = "(.*)"$/m.exec(section)[1].split(" ");
    const environment = Object.fromEntries(
        [.../^env = (.*)$/m.exec(section)[1].matchAll(/([A-Z_]+) = "([^"]*)"/g)]
            .map(([, name, value]) => [name, value]),
    );
    return { run, environment };
}

function sendJson(response, body, status = 200) {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

/** The platform's store: ranges in pages, and watches with their history. */
export class Store {
    items = new Map();
    history = [];
    revision = 1;
    watches = new Set();
    reads = 0;
    oldestRevision = 0;

    /** Maximum size of a value. */
    valueBytes = 1_048_576;

    doors = [];

    async start() {
        this.address = (await this.openDoor()).address;
    }

    /** Opens an address of the store; while its `isTurnedAway` is set, all calls there are answered 503. */
    async openDoor() {
        const door = { isTurnedAway: false, responses: new Set() };
        door.server = createServer((request, response) => {
            door.responses.add(response);
            response.on("close", () => door.responses.delete(response));
            if (door.isTurnedAway) {
                sendJson(response, {}, 503);
                return;
            }
            this.handle(request, response);
        });
        const port = await freePort();
        await new Promise((done) => door.server.listen(port, "127.0.0.1", done));
        door.address = `127.0.0.1:${port}`;
        this.doors.push(door);
        return door;
    }

    /** Answers watches from an earlier revision with 410, also those that wait. */
    discardHistory() {
        this.history = [];
        this.oldestRevision = this.revision;
        [...this.watches].forEach((watch) => {
            this.watches.delete(watch);
            watch.answer();
        });
    }

    /** Cuts the channels of all watches that wait; returns how many. */
    cutWatches() {
        const waiting = [...this.watches];
        this.watches.clear();
        waiting.forEach(({ cut }) => cut());
        return waiting.length;
    }

    /** Turns away who calls at a door, also those whose watches wait. */
    turnAway(door) {
        door.isTurnedAway = true;
        door.responses.forEach((response) => {
            if (!response.headersSent) {
                sendJson(response, {}, 503);
            }
        });
    }

    stop() {
        for (const { server } of this.doors) {
            server.closeAllConnections();
            server.close();
        }
    }

    write(key, value) {
        this.writeBytes(key, Buffer.from(JSON.stringify(value)));
    }

    writeBytes(key, bytes) {
        if (bytes.length > this.valueBytes) {
            throw new Error(`the value of ${key} has ${bytes.length} bytes`);
        }
        this.revision += 1;
        const before = this.items.get(key);
        const item = {
            key,
            value: bytes.toString("base64"),
            revision: this.revision,
            created: before?.created ?? this.revision,
            lease: 0,
        };
        this.items.set(key, item);
        this.record(item);
    }

    remove(key) {
        this.revision += 1;
        this.items.delete(key);
        this.record({ key, revision: this.revision, removed: true });
    }

    record(event) {
        this.history.push(event);
        for (const watch of [...this.watches]) {
            if (event.key.startsWith(watch.prefix)) {
                this.watches.delete(watch);
                watch.answer();
            }
        }
    }

    handle(request, response) {
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("prefix") ?? "";
        this.reads += 1;
        response.setHeader("store-era", "1");
        if (url.pathname === "/-/kv-range") {
            this.sendPage(prefix, url.searchParams.get("after") ?? "", response);
        }
        else if (url.pathname === "/-/kv-watch") {
            this.watch(prefix, url.searchParams, response);
        }
        else {
            sendJson(response, {}, 404);
        }
    }

    /** A page has at most 500 items or 1 MB. */
    sendPage(prefix, after, response) {
        const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            const item = this.items.get(key);
            bytes += item.value.length;
            if (items.length > 0 && (items.length >= 500 || bytes > 1_048_576)) {
                break;
            }
            items.push(item);
        }
        sendJson(response, { items, hasMore: items.length < keys.length, storeRevision: this.revision });
    }

    watch(prefix, parameters, response) {
        const after = Number(parameters.get("after"));
        const events = () =>
            this.history.filter((event) => event.revision > after && event.key.startsWith(prefix));
        const answer = () => {
            clearTimeout(timer);
            if (after < this.oldestRevision) {
                sendJson(response, {}, 410);
                return;
            }
            sendJson(response, { events: events(), storeRevision: this.revision });
        };
        const cut = () => {
            clearTimeout(timer);
            response.destroy();
        };
        const watch = { prefix, answer, cut };
        const timer = setTimeout(() => {
            this.watches.delete(watch);
            answer();
        }, Number(parameters.get("waitMs")));
        response.once("close", () => {
            clearTimeout(timer);
            this.watches.delete(watch);
        });
        if (events().length > 0 || after < this.oldestRevision) {
            answer();
        }
        else {
            this.watches.add(watch);
        }
    }
}

/** A replica's entry in the store. */
export function registration({ service, address, born, models = [], state = "ready" }) {
    return {
        service,
        address,
        zone: "hobart",
        version: "v1",
        slots: 64,
        state,
        coldRemainingMs: 0,
        ...models.length > 0 && { stage: "prefill_decode", models },
        sequence: 1,
        born,
    };
}

/** A replica. `serve` answers the requests that it runs; all others are rejected as the pages say. */
export class Replica {
    version = 1;
    orders = 0;
    runs = [];
    born = Date.now();

    constructor({ instance, service, models = [], serve, host = "127.0.0.1", onRun = () => {} }) {
        Object.assign(this, { instance, service, models, serve, host, onRun });
    }

    async start(port = undefined) {
        this.server = createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 5_000;
        this.port = port ?? await freePort(this.host);
        await new Promise((done) => this.server.listen(this.port, this.host, done));
        this.address = `${this.host}:${this.port}`;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    entry(state = "ready") {
        const { address, born, service } = this;
        return registration({ service, address, born, models: this.modelList(), state });
    }

    modelList() {
        return this.models.map((name) => ({ name, version: this.version, adapters: [] }));
    }

    handle(request, response) {
        const chunks = [];
        request.on("data", (chunk) => chunks.push(chunk));
        request.on("error", () => {});
        response.on("error", () => {});
        request.on("end", () => this.answer(request, response, Buffer.concat(chunks)));
    }

    answer(request, response, body) {
        const { headers, url } = request;
        if (url === "/-/report") {
            sendJson(response, {
                stage: "prefill_decode",
                models: this.modelList(),
                busy: false,
                sequence: this.orders,
                queued: 0,
                running: 0,
                kvUsed: 0,
                kvTotal: 90_000,
                handles: 0,
                born: this.born,
            });
            return;
        }
        if (url === "/-/order") {
            this.order(JSON.parse(body.toString()), response);
            return;
        }
        if (url === "/health") {
            response.writeHead(200, { "Redwingpin-Instance": this.instance }).end();
            return;
        }
        const attempt = headers["redwingpin-request-attempt-id"];
        response.setHeader("Redwingpin-Request-Attempt-Id", attempt ?? "");
        const expected = headers["redwingpin-expected-version"];
        const isOther = headers["redwingpin-target-instance"] !== this.instance;
        if (isOther || (expected !== undefined && Number(expected) !== this.version)) {
            response.writeHead(421, { "Redwingpin-Not-Executed": "1", "Redwingpin-Instance": this.instance })
                .end();
            return;
        }
        const run = { attempt, url, headers, body: body.toString(), at: Date.now(), instance: this.instance };
        this.runs.push(run);
        this.onRun(run);
        response.setHeader("Redwingpin-Response-Seal", `seal.${this.instance}.${attempt}`);
        if (this.models.length > 0) {
            response.setHeader("Redwingpin-Weight-Versions", String(this.version));
        }
        this.serve(run, response, request);
    }

    order(order, response) {
        if (order.expected !== undefined && order.expected !== this.orders) {
            sendJson(response, {}, 409);
            return;
        }
        this.orders += 1;
        this.version = order.version;
        sendJson(response, {}, 202);
    }
}

/** A running program. */
class Program {
    ends = [];
    lines = [];
    isStopped = false;

    constructor(site, { role, name, host, settings, ports }) {
        Object.assign(this, { site, role, name, host, settings, ports });
        this.file = join(site.folder, `${name}.toml`);
    }

    start() {
        const { run, environment } = deployedRole(this.role);
        writeFileSync(this.file, this.settings);
        this.startedAt = Date.now();
        this.child = spawn(run[0] === "node" ? process.execPath : run[0], run.slice(1), {
            cwd: root,
            env: {
                ...environment,
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                REDWINGPIN_SETTINGS: this.file,
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const { child } = this;
        const keep = (chunk) => this.lines.push(...chunk.toString().split("\n").filter(Boolean));
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            if (this.isStopped) {
                return;
            }
            this.ends.push({ at: Date.now(), code, signal });
            this.site.note(`${this.name} ended by itself: code ${code}, signal ${signal}`);
            // The platform starts a process that has ended again after a short delay.
            this.settings = this.settings.replace("firstStart = true", "firstStart = false");
            setTimeout(() => this.isStopped || this.start(), 500);
        });
    }

    kill(signal = "SIGKILL") {
        this.isStopped = true;
        this.child.kill(signal);
    }

    /** Resident memory in MB. */
    memory() {
        try {
            return Number(
                /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.child.pid}/status`, "utf8"))?.[1] ?? 0,
            ) / 1_000;
        }
        catch {
            return 0;
        }
    }
}

/** The deployment. */
export class Site {
    folder = mkdtempSync(join(tmpdir(), "redwingpin-review-"));
    store = new Store();
    programs = [];
    replicas = [];
    lines = [];
    startedAt = Date.now();

    constructor(recordFile) {
        this.recordFile = recordFile;
        writeFileSync(recordFile, "");
    }

    /** Adds a line to the record; lines are written together. */
    note(text) {
        const time = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
        this.lines.push(`${time} ${text}\n`);
        if (this.lines.length >= 200) {
            this.writeLines();
        }
    }

    writeLines() {
        appendFileSync(this.recordFile, this.lines.splice(0).join(""));
    }

    /** Sends a client's request to a router, see {@link call}, and records it. */
    async call(router, options) {
        const { host, ports } = router;
        const onSent = (attempt) => this.note(`${attempt} sent to ${router.name}`);
        const answer = await call({ host, port: ports.callers, onSent, ...options });
        this.note(`${answer.attempt} ${describe(answer)}`);
        return answer;
    }

    async start() {
        await this.store.start();
        this.innerPort = await freePort();
    }

    /** Runs a case, ends all that it started, and exits with its result, or with 2 if it could not run. */
    async runCase(main) {
        let exitCode = 2;
        try {
            exitCode = await main();
        }
        catch (error) {
            this.note(`could not run: ${error.stack}`);
        }
        this.stop();
        process.exit(exitCode);
    }

    stop() {
        this.writeLines();
        this.programs.forEach((program) => program.kill());
        this.replicas.forEach((replica) => replica.stop());
        this.store.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    async addReplica(options, { isRegistered = true } = {}) {
        const onRun = ({ attempt, instance }) => this.note(`${attempt} is run by ${instance}`);
        const replica = new Replica({ onRun, ...options });
        await replica.start();
        this.replicas.push(replica);
        if (isRegistered) {
            this.store.write(`servers/${replica.instance}`, replica.entry());
        }
        return replica;
    }

    settings({ name, host, machineClass, memory, more, seeds = [], storeAddress = this.store.address }) {
        return `nodeName = "${name}"
role = "${machineClass === "frontend" ? "router" : "agent"}"
machineClass = "${machineClass}"
serves = ["${machineClass}"]
ipAddress = "${host}"
zone = "hobart"
region = "tas"
internalPorts = [${this.innerPort},${this.innerPort}]
seeds = [${seeds.map((seed) => `"${seed}:8608"`).join(",")}]
firstStart = true
countedInTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
${more}[zones]
hobart = "tas"
[limits]
cpuShare = 0.513
cpuCores = 1
memoryMb = ${memory}
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
${bounds}[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`;
    }

    async startRouter(name, host, { memory = 200, seeds = [], storeAddress } = {}) {
        const ports = { callers: await freePort(host), readiness: await freePort(host) };
        const text = this.settings({
            name,
            host,
            machineClass: "frontend",
            memory,
            more: "",
            seeds,
            storeAddress,
        });
        const settings = `${text}[listenAddresses]
frontend = "${host}:${ports.callers}"
readiness = "${host}:${ports.readiness}"
controlPlane = "${host}:8608"
`;
        const router = new Program(this, { role: "router", name, host, settings, ports });
        this.programs.push(router);
        router.start();
        await until(`${name} is ready`, () => isReady(router));
        return router;
    }

    async startAgent(name, host, replica, { memory = 282, storeAddress } = {}) {
        const more = `app = "${replica.address}"\nservice = "${replica.service}"\n`;
        const settings = this.settings({ name, host, machineClass: "side", memory, more, storeAddress });
        const agent = new Program(this, { role: "agent", name, host, settings });
        this.programs.push(agent);
        agent.start();
        await until(`${name} has started`, () => agent.lines.some((line) => line.includes('"started"')));
        return agent;
    }
}

/** The answer of a router's readiness address is 200 within a second. */
export async function isReady(router) {
    const answer = await call({
        host: router.host,
        port: router.ports.readiness,
        method: "GET",
        path: "/-/readiness",
        patience: 1_000,
    });
    return answer.status === 200;
}

/** Describes how a client's request ended. */
function describe({ complete, error, gaveUp, status }) {
    if (gaveUp) {
        return "is given up by its client";
    }
    if (status === undefined) {
        return `has no answer: ${error}`;
    }
    return `is answered ${status}${complete ? "" : ", cut"}`;
}

let attempts = 0;

/** Sends a client's request on a channel of its own; it closes the channel after `patience`. */
export function call(options) {
    const { host, port, method = "POST", path, headers = {}, body, patience = 5_000 } = options;
    const { agent, onData, onSent } = options;
    const attempt = `attempt-${++attempts}`;
    onSent?.(attempt);
    const sentAt = Date.now();
    return new Promise((done) => {
        const end = (answer) => {
            clearTimeout(timer);
            done({ attempt, sentAt, endedAt: Date.now(), isKept: request.reusedSocket, ...answer });
        };
        const request = httpRequest({
            host,
            port,
            method,
            path,
            agent: agent ?? false,
            headers: {
                "Host": "site.example",
                "Redwingpin-Request-Attempt-Id": attempt,
                "Redwingpin-Credential": "key-of-a-maker",
                "Redwingpin-Deadline-Milliseconds": String(patience),
                ...headers,
            },
        }, (response) => {
            const parts = [];
            let size = 0;
            const answer = () => ({
                status: response.statusCode,
                headers: response.headers,
                complete: response.complete,
                text: Buffer.concat(parts).toString(),
                size,
            });
            response.on("data", (chunk) => {
                size += chunk.length;
                if (onData === undefined) {
                    parts.push(chunk);
                }
                else {
                    onData(chunk, request, response);
                }
            });
            response.on("error", () => end(answer()));
            response.on("close", () => end(answer()));
        });
        const timer = setTimeout(() => {
            request.destroy();
            end({ gaveUp: true });
        }, patience);
        request.on("error", (error) => end({ error: error.code ?? error.message }));
        request.end(body);
    });
}

/** A channel that a client keeps open for its requests. */
export const keptChannel = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** A loopback network of this run's own: returns the address of a machine. */
export function loopbackNetwork() {
    const second = 20 + Math.floor(Math.random() * 200);
    const third = Math.floor(Math.random() * 250);
    return (machine) => `127.${second}.${third}.${machine}`;
}

/** A service of model engines, and one of an application. */
export const engineService = {
    name: "drafting-models",
    healthPath: "/health",
    maxConnections: 360,
    protocol: "h1",
    tls: false,
    engine: {
        slots: 64,
        kvCapacityTokens: 87_687,
        kvTokenBytes: 18_432,
        linkMbps: 280_000,
        models: [{ name: "drafting" }],
    },
};
export const applicationService = {
    name: "registry-app",
    healthPath: "/health",
    maxConnections: 100,
    protocol: "h1",
    tls: false,
};

/** A configuration with routes to the given services. */
export function configuration({ version = 1, routes, services }) {
    return {
        version,
        routes: routes.map((route) => ({
            host: "site.example",
            timeoutMs: 5_000,
            targetLatencyMs: 500,
            maxAttempts: 2,
            priority: 1,
            ...route,
        })),
        services,
        limits: {
            maxHeaderBytes: 32_768,
            maxBodyBytes: 4_194_304,
            headerTimeoutMs: 5_000,
            idleTimeoutMs: 10_000,
        },
        tenants: [{
            name: "maker",
            apiKeys: ["key-of-a-maker"],
            ratePerS: 0,
            burst: 0,
            unit: "tokens",
            uncachedTokens: 200,
        }],
    };
}

/**
 * A small site on loopback addresses: the store, replicas, and the project's programs as separate processes, started with
 * the commands of the deploy file.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { clearTimeout, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { Replica } from "./replica.mjs";
import { Store } from "./store.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** A case that takes longer could not run. */
const maxDuration = 115_000;

/** Size of the end of a program's output that is recorded if it ends by itself. */
const maxKeptOutput = 1_000;

/** Exit codes of a case. */
const held = 0;
const broken = 1;
const couldNotRun = 2;

/** What was sent, answered and run, one line each, with the milliseconds since the start. */
export class Record {
    startedAt = Date.now();

    constructor(file) {
        this.file = file;
        writeFileSync(file, "");
    }

    write(what, fields) {
        const time = String(Date.now() - this.startedAt).padStart(7);
        appendFileSync(this.file, `${time} ${what} ${JSON.stringify(fields)}\n`);
    }
}

export const sleep = (duration) => new Promise((resolve) => setTimeout(resolve, duration));

/** Waits until a condition is true. */
export async function until(description, condition, limit = 30_000) {
    const end = Date.now() + limit;
    while (!await condition()) {
        if (Date.now() > end) {
            throw new Error(`timed out: ${description}`);
        }
        await sleep(20);
    }
}

/**
 * Runs a case in a site of its own. `play` resolves with a list of what broke the rule; the case is broken if `limit`
 * entries or more are in it.
 */
export async function runCase(folder, play, limit = 1) {
    const record = new Record(join(folder, "record.txt"));
    const site = new Site(record);
    let code = couldNotRun;
    const giveUp = (error) => {
        record.write("end", { error: String(error) });
        console.error(error);
        site.kill();
        rmSync(site.folder, { recursive: true, force: true });
        process.exit(couldNotRun);
    };
    process.on("uncaughtException", giveUp);
    process.on("SIGTERM", () => giveUp("stopped"));
    process.on("SIGINT", () => giveUp("stopped"));
    const timer = setTimeout(() => giveUp("the case took too long"), maxDuration);
    try {
        await site.start();
        const breaks = await play(site, record);
        breaks.forEach((entry) => record.write("breaks", entry));
        code = breaks.length >= limit ? broken : held;
        console.log(`counted against the rule: ${breaks.length} (broken from ${limit})`);
    }
    catch (error) {
        record.write("end", { error: String(error) });
        console.error(error);
    }
    clearTimeout(timer);
    await site.stop();
    record.write("end", { code });
    process.exit(code);
}

/** Command and environment of a role in the deploy file. */
function readRole(role) {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
    const run = /^run = "(.*)"$/m.exec(section)[1].split(" ");
    const key = /REDWINGPIN_FLEET_KEY = "([^"]*)"/.exec(section)[1];
    return { run, key };
}

/** Ports below those that outgoing connections get. No port is given twice; cases that run side by side start apart. */
const firstPort = 16_000;
const portCount = 12_000;
let portOffset = process.pid * 101 % portCount;

/** A port that is free on every one of the hosts. */
async function freePort(hosts) {
    for (;;) {
        portOffset = (portOffset + 1) % portCount;
        const port = firstPort + portOffset;
        const bound = await Promise.all(hosts.map((host) => bind(host, port).catch(() => 0)));
        if (bound.every((other) => other === port)) {
            return port;
        }
    }
}

function bind(host, port) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(port, host, () => {
            const { port: bound } = server.address();
            server.close(() => resolve(bound));
        });
    });
}

export class Site {
    store = new Store();
    replicas = [];
    programs = [];
    isEnding = false;

    constructor(record) {
        this.record = record;
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
    }

    async start() {
        const hosts = Array.from({ length: 40 }, (_, index) => `127.0.0.${index + 11}`);
        this.innerPort = await freePort(hosts);
    }

    async addReplica(options) {
        const replica = new Replica({ store: this.store, record: this.record, ...options });
        this.replicas.push(replica);
        await replica.start();
        return replica;
    }

    /** Starts a router; the platform starts it again if it ends by itself. */
    async startRouter(name, host, seeds) {
        const router = {
            name,
            host,
            callers: await freePort([host]),
            readiness: await freePort([host]),
            ends: 0,
        };
        const text = await this.settings(name, host, "frontend", seeds)
            + `[listenAddresses]\nfrontend = "${host}:${router.callers}"\n`
            + `readiness = "${host}:${router.readiness}"\n`;
        await this.startProgram("router", router, text);
        return router;
    }

    /** Starts the agent of a replica, on the replica's host. */
    async startAgent(name, replica) {
        const { host, service } = replica.options;
        const text = `app = "${replica.address}"\nservice = "${service}"\n`
            + await this.settings(name, host, "side", []);
        await this.startProgram("agent", { name, host, ends: 0 }, text);
    }

    async settings(name, host, machineClass, seeds) {
        const store = await this.store.listenFor(name);
        return `nodeName = "${name}"
role = "${machineClass}"
machineClass = "${machineClass}"
ipAddress = "${host}"
zone = "hobart"
region = "tas"
internalPorts = [${this.innerPort}, ${this.innerPort}]
seeds = [${seeds.map((seed) => `"${seed}:1"`).join(", ")}]
firstStart = true
heartbeatMs = 1200
[limits]
memoryMb = 200
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 110000
fencingEnforced = false
leaseMs = 3000
versionMs = 12000
versionAllMs = 17000
[platform]
address = "${store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`;
    }

    async startProgram(role, program, text) {
        const { key, run: [command, ...parameters] } = readRole(role);
        const file = join(this.folder, `${program.name}.toml`);
        const metricsPort = await freePort([program.host]);
        writeFileSync(file, text);
        const start = () => {
            program.child = spawn(command, parameters, {
                cwd: root,
                env: {
                    PATH: process.env["PATH"],
                    HOME: process.env["HOME"],
                    LANG: process.env["LANG"],
                    REDWINGPIN_SETTINGS: file,
                    REDWINGPIN_FLEET_KEY: key,
                    REDWINGPIN_METRICS_PORT: String(metricsPort),
                },
                stdio: ["ignore", "pipe", "inherit"],
            });
            let output = "";
            program.child.stdout.on("data", (chunk) => output = (output + chunk).slice(-maxKeptOutput));
            program.exited = new Promise((resolve) =>
                program.child.once("exit", (code, signal) => {
                    resolve();
                    this.record.write("process ended", { name: program.name, code, signal });
                    if (!this.isEnding) {
                        this.record.write("last output", { name: program.name, output });
                        program.ends += 1;
                        writeFileSync(file, text.replace("firstStart = true", "firstStart = false"));
                        setTimeout(() => this.isEnding || start(), 500);
                    }
                })
            );
        };
        this.programs.push(program);
        start();
        this.record.write("process started", { name: program.name, host: program.host });
    }

    /** Kills every program that was started. */
    kill() {
        this.isEnding = true;
        this.programs.forEach(({ child }) => child?.kill("SIGKILL"));
    }

    async stop() {
        this.kill();
        await Promise.all(this.programs.map(({ exited }) => exited));
        this.replicas.forEach((replica) => replica.stop());
        this.store.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Waits until a router reports that it is ready. */
export function untilReady({ host, name, readiness: port }) {
    return until(`${name} is ready`, async () => {
        const answer = await send({ host, port, path: "/-/readiness", method: "GET" });
        return answer.status === 200;
    });
}

/** Sends one request and resolves with its answer; `status` is absent if the channel ended without a head. */
export function send({ agent, body, headers, host, method, onEvent, path, port, timeout }) {
    return new Promise((resolve) => {
        let text = "";
        const request = httpRequest({
            host,
            port,
            path,
            method: method ?? "POST",
            agent: agent ?? false,
            headers: { ...headers, ...body !== undefined && { "content-length": body.length } },
        }, (response) => {
            const { headers: received, statusCode: status } = response;
            const end = (isComplete) => resolve({ status, headers: received, text, isComplete });
            response.on("data", (chunk) => {
                text += chunk;
                onEvent?.(text);
            });
            response.on("error", () => end(false));
            response.on("end", () => end(response.complete));
        });
        request.on("error", () => resolve({ headers: {}, text, isComplete: false }));
        if (timeout !== undefined) {
            const timer = setTimeout(() => request.destroy(), timeout);
            request.on("close", () => clearTimeout(timer));
        }
        request.end(body);
    });
}

/** A channel that is kept for many requests. */
export function keptChannel() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

let requests = 0;

/** Header fields of a client's request. */
export function clientHeaders(maxWait, more = {}) {
    requests += 1;
    return {
        "host": "site.example",
        "redwingpin-request-attempt-id": `request-${requests}`,
        "redwingpin-credential": "key-of-a-maker",
        "redwingpin-deadline-milliseconds": String(maxWait),
        ...more,
    };
}

/** The configuration: model engines with two kinds of streams, and an application with calls that may run once or often. */
export function configuration(models = ["drafting"]) {
    const route = (name, prefix, more) => ({
        name,
        host: "site.example",
        prefix,
        timeoutMs: 1_500,
        targetLatencyMs: 121,
        priority: 1,
        maxAttempts: 2,
        public: false,
        ...more,
    });
    const stream = { service: "engines", kind: "streaming", stickySessions: true, targetGapMs: 500 };
    return {
        version: 3,
        routes: [
            route("pattern-match", "/match/", { ...stream, resumable: true, timeoutMs: 5_000 }),
            route("compliance-draft", "/draft/", { ...stream, timeoutMs: 12_000, maxAttempts: 1 }),
            route("cert-stamp", "/stamp/", { kind: "unsafe", service: "registry", maxAttempts: 1 }),
            route("status-read", "/status/", { kind: "safe", service: "registry" }),
        ],
        services: [
            {
                name: "engines",
                healthPath: "/health",
                maxConnections: 360,
                engine: {
                    slots: 64,
                    kvCapacityTokens: 87_687,
                    kvTokenBytes: 18_432,
                    models: models.map((name) => ({ name })),
                },
            },
            { name: "registry", healthPath: "/health", maxConnections: 100 },
        ],
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 4_194_304,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        },
        tenants: [{
            name: "makers",
            apiKeys: ["key-of-a-maker"],
            priority: 1,
            unit: "tokens",
            uncachedTokens: 200,
            isolated: false,
            ratePerS: 91_242,
            burst: 91_242,
        }],
    };
}

/**
 * State that the steps of one scenario share: the running playground, its callers and what they observed.
 *
 * @module
 */
import { type Manifest, RouteKind } from "@redwingpin/manifest";
import { type Playground, type PlaygroundKey, PlaygroundRole, startPlayground } from "@redwingpin/playground";
import type { RecordedRequest, RequestLogReport } from "@redwingpin/standins";
import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { Caller, type CallPlan, type SentCall } from "./caller.js";
import { CallKind, type CallRecord } from "./callRecord.js";
import { Load } from "./load.js";

/** One execution at a service. */
export interface ServiceExecution {
    readonly service: string;
    readonly body: string;
}

/** Result of an operator's command. */
export interface OperatorResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

const pollMilliseconds = 20;
const defaultTimeoutMilliseconds = 30_000;

/** Shared state of one scenario. */
export class World {
    /** Calls that have ended, in the order of their end. */
    readonly records: CallRecord[] = [];
    /** Measurements of the steps, for the report. */
    readonly measurements: string[] = [];
    /** Calls that steps refer to, by name. */
    readonly calls = new Map<string, SentCall>();
    /** Requests and executions of stand-ins that were killed, saved before the kill. */
    readonly requestsSeenByKilled: RecordedRequest[] = [];
    readonly executionsOfKilled: ServiceExecution[] = [];
    /** Results of operators' commands, by the operator's name. */
    readonly operatorResults = new Map<string, Promise<OperatorResult>>();
    /** Revisions of the routers when a step last compared them; empty before the first time. */
    previousRevisions: readonly (number | undefined)[] = [];
    /** Persistent connections, one to each router. */
    readonly persistentConnections = new Agent({ connections: 1 });
    private readonly loads: Load[] = [];
    private readonly caller = new Caller();
    private runningPlayground: Playground | undefined;
    private identityCount = 0;

    /** The running playground; throws if none was started. */
    get playground(): Playground {
        if (!this.runningPlayground) {
            throw new Error(`no site is running; begin the scenario with "a site with ..."`);
        }
        return this.runningPlayground;
    }

    /** The manifest that was in effect at the start. */
    get manifest(): Manifest {
        return JSON.parse(readFileSync(this.playground.state.manifest, "utf8")) as Manifest;
    }

    async start(
        routers: number,
        engines: number,
        services: number,
        canPartitionNetwork = false,
    ): Promise<void> {
        this.runningPlayground = await startPlayground({
            routers,
            engines,
            services,
            usesNetworkStandin: canPartitionNetwork,
        });
    }

    async stop(): Promise<void> {
        this.calls.forEach((call) => call.disconnect());
        await Promise.all(this.loads.map((load) => load.stop()));
        await this.caller.close();
        await this.persistentConnections.destroy();
        await this.runningPlayground?.kill();
    }

    /** Creates a text that identifies one call. */
    newIdentity(): string {
        return `call ${++this.identityCount} of this scenario`;
    }

    /** First key of an account. */
    keyOf(account: string): string {
        const found = this.playground.state.keys.find((key: PlaygroundKey) => key.account === account);
        if (!found) {
            throw new Error(`account "${account}" does not exist in the playground`);
        }
        return found.key;
    }

    /** Base address of a router; numbers start at 1. */
    router(number: number): string {
        return this.playground.state.routers[number - 1]!;
    }

    /** Creates a call from the overrides, with the default account, route and sizes for the rest. */
    planCall(overrides: Partial<CallPlan> & { readonly kind: CallKind; }): CallPlan {
        const identity = overrides.identity ?? this.newIdentity();
        const account = overrides.account ?? "workshops";
        return {
            identity,
            account,
            key: this.keyOf(account),
            router: this.router(1),
            target: this.targetOf(overrides.kind),
            prompt: `Does the pattern of ${identity} match the catalogue?`,
            maximumTokens: 20,
            ...overrides,
        };
    }

    /** Sends one call; its record is added to `records` when it ends. */
    send(plan: CallPlan): SentCall {
        const call = this.caller.send(plan);
        void call.ended.then((record) => this.records.push(record));
        return call;
    }

    /** Starts callers that send calls continuously. */
    startLoad(
        callers: number,
        next: (caller: number, call: number) => CallPlan,
        delayMilliseconds = 0,
    ): void {
        this.loads.push(
            new Load({ callers, next, delayMilliseconds, onEnd: (record) => this.records.push(record) }),
        );
    }

    /** Stops the callers of every load and waits until their last calls have ended. */
    async stopLoads(): Promise<void> {
        await Promise.all(this.loads.splice(0).map((load) => load.stop()));
    }

    /** Waits for a condition and returns the milliseconds that it took; throws an error after the time-out. */
    async waitUntil(
        description: string,
        condition: () => boolean | Promise<boolean>,
        timeoutMilliseconds = defaultTimeoutMilliseconds,
    ): Promise<number> {
        const start = performance.now();
        while (!await condition()) {
            if (performance.now() - start > timeoutMilliseconds) {
                throw new Error(`timed out after ${timeoutMilliseconds} ms waiting until ${description}`);
            }
            await sleep(pollMilliseconds);
        }
        return Math.round(performance.now() - start);
    }

    /** Names of the processes of a role, in the order of their numbers. */
    processNames(role: PlaygroundRole): string[] {
        return this.playground.state.processes.filter((child) => child.role === role).map((child) =>
            child.name
        );
    }

    /** Sends a request to a stand-in's control address: a POST if there is a body, else a GET. */
    async callControl<T>(name: string, path: string, body?: object): Promise<T> {
        const { control } = this.playground.child(name).plan;
        const method = body === undefined ? "GET" : "POST";
        const answer = await request(`${control}${path}`, { method, body: body && JSON.stringify(body) });
        return await answer.body.json() as T;
    }

    /** Replaces the VM list. */
    async replaceMachines(machines: readonly object[]): Promise<void> {
        const { control } = this.playground.child("vmList").plan;
        const body = JSON.stringify(machines);
        const answer = await request(`${control}/control/virtualMachines`, { method: "PUT", body });
        await answer.body.dump();
    }

    /** Requests that all endpoints received so far, including killed ones. */
    async requestsSeenByEndpoints(): Promise<RecordedRequest[]> {
        const seen = [...this.requestsSeenByKilled];
        for (const name of this.runningEndpoints()) {
            seen.push(...await this.requestsSeenBy(name));
        }
        return seen;
    }

    /** Executions of all services so far, including killed ones. */
    async executions(): Promise<ServiceExecution[]> {
        const executions = [...this.executionsOfKilled];
        for (const service of this.runningEndpoints(PlaygroundRole.Service)) {
            executions.push(...await this.executionsOf(service));
        }
        return executions;
    }

    /** Saves the requests and executions that a stand-in recorded; called before it is killed. */
    async saveObservations(name: string): Promise<void> {
        this.requestsSeenByKilled.push(...await this.requestsSeenBy(name));
        if (this.processNames(PlaygroundRole.Service).includes(name)) {
            this.executionsOfKilled.push(...await this.executionsOf(name));
        }
    }

    /** Runs the operator's command-line program. */
    runOperatorCommand(commandArguments: readonly string[]): Promise<OperatorResult> {
        const [program, ...programArguments] = this.playground.state.operator;
        return new Promise((resolve) => {
            execFile(program!, [...programArguments, ...commandArguments], (error, output, errors) => {
                const exitCode = error ? Number(error.code ?? 1) : 0;
                resolve({ exitCode, output, errors });
            });
        });
    }

    private targetOf(kind: CallKind): string {
        const { state } = this.playground;
        switch (kind) {
            case CallKind.Completion:
            case CallKind.Stream:
                return this.manifest.routes.find((route) => route.kind === RouteKind.Model)!.name;
            case CallKind.NonIdempotent:
                return state.nonIdempotent;
            case CallKind.Idempotent:
                return state.idempotentService;
        }
    }

    private runningEndpoints(...roles: PlaygroundRole[]): string[] {
        const selectedRoles = roles.length > 0 ? roles : [PlaygroundRole.Engine, PlaygroundRole.Service];
        return selectedRoles.flatMap((role) => this.processNames(role))
            .filter((name) => this.playground.child(name).isRunning);
    }

    private async requestsSeenBy(name: string): Promise<readonly RecordedRequest[]> {
        const report = await this.callControl<RequestLogReport & { probes?: RequestLogReport; }>(
            name,
            "/control/seen",
        );
        return [...report.requests, ...report.probes?.requests ?? []];
    }

    private async executionsOf(service: string): Promise<ServiceExecution[]> {
        const list = await this.callControl<{ body: string; }[]>(service, "/control/executions");
        return list.map(({ body }) => ({ service, body }));
    }
}

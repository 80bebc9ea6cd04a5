/**
 * What the steps of one scenario share: the running playground, its callers and everything that they saw.
 *
 * @module
 */
import { type Manifest, RouteKind } from "@redwingpin/manifest";
import { type Playground, type PlaygroundKey, PlaygroundRole, startPlayground } from "@redwingpin/playground";
import type { SeenReport, SeenRequest } from "@redwingpin/standins";
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

/** What an operator's command gave back. */
export interface OperatorResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

const pollMilliseconds = 20;
const defaultLimitMilliseconds = 30_000;

/** The world of one scenario. */
export class World {
    /** Every call that has ended, in order of its end. */
    readonly records: CallRecord[] = [];
    /** Figures that steps measured, for the report. */
    readonly measures: string[] = [];
    /** Calls that steps speak of, by name. */
    readonly calls = new Map<string, SentCall>();
    /** Requests and executions of stand-ins that have been killed since. */
    readonly pastSeen: SeenRequest[] = [];
    readonly pastExecutions: ServiceExecution[] = [];
    /** Results of operators' commands, by name. */
    readonly operatorResults = new Map<string, Promise<OperatorResult>>();
    /** Revisions of the routers when a step last looked. */
    revisions: readonly (number | undefined)[] = [];
    /** Connections that stay open, one to each router. */
    readonly connected = new Agent({ connections: 1 });
    private readonly loads: Load[] = [];
    private readonly caller = new Caller();
    private running: Playground | undefined;
    private identities = 0;

    /** The running playground. */
    get playground(): Playground {
        if (!this.running) {
            throw new Error(`no site is running; begin the scenario with "a site with ..."`);
        }
        return this.running;
    }

    /** The manifest that was in force at the start. */
    get manifest(): Manifest {
        return JSON.parse(readFileSync(this.playground.state.manifest, "utf8")) as Manifest;
    }

    async start(routers: number, engines: number, services: number, cuttableNetwork = false): Promise<void> {
        this.running = await startPlayground({ routers, engines, services, cuttableNetwork });
    }

    async stop(): Promise<void> {
        this.calls.forEach((call) => call.leave());
        await Promise.all(this.loads.map((load) => load.stop()));
        await this.caller.close();
        await this.connected.destroy();
        await this.running?.kill();
    }

    /** A text that no other call has. */
    newIdentity(): string {
        return `call ${++this.identities} of this scenario`;
    }

    /** First key of an account. */
    keyOf(account: string): string {
        const found = this.playground.state.keys.find((key: PlaygroundKey) => key.account === account);
        if (!found) {
            throw new Error(`account "${account}" does not exist in the playground`);
        }
        return found.key;
    }

    /** Base address of a router, from 1. */
    router(number: number): string {
        return this.playground.state.routers[number - 1]!;
    }

    /** Fills in a call with the usual account, route and sizes. */
    plan(changes: Partial<CallPlan> & { readonly kind: CallKind; }): CallPlan {
        const identity = changes.identity ?? this.newIdentity();
        const account = changes.account ?? "workshops";
        return {
            identity,
            account,
            key: this.keyOf(account),
            router: this.router(1),
            target: this.targetOf(changes.kind),
            prompt: `Does the pattern of ${identity} match the catalogue?`,
            maximumTokens: 20,
            ...changes,
        };
    }

    /** Sends one call; its record is kept when it ends. */
    send(plan: CallPlan): SentCall {
        const call = this.caller.send(plan);
        void call.ended.then((record) => this.records.push(record));
        return call;
    }

    /** Starts callers that keep sending. */
    startLoad(
        callers: number,
        next: (caller: number, call: number) => CallPlan,
        pauseMilliseconds = 0,
    ): void {
        this.loads.push(
            new Load({ callers, next, pauseMilliseconds, onEnd: (record) => this.records.push(record) }),
        );
    }

    /** Waits until every caller that kept sending has ended its last call. */
    async stopLoads(): Promise<void> {
        await Promise.all(this.loads.splice(0).map((load) => load.stop()));
    }

    /** Waits for a condition; throws with `what` after the limit. Returns the milliseconds that it took. */
    async until(
        what: string,
        condition: () => boolean | Promise<boolean>,
        limitMilliseconds = defaultLimitMilliseconds,
    ): Promise<number> {
        const start = performance.now();
        while (!await condition()) {
            if (performance.now() - start > limitMilliseconds) {
                throw new Error(`after ${limitMilliseconds} ms it is still not so that ${what}`);
            }
            await sleep(pollMilliseconds);
        }
        return Math.round(performance.now() - start);
    }

    /** Names of the processes of a role, in order. */
    namesOf(role: PlaygroundRole): string[] {
        return this.playground.state.processes.filter((child) => child.role === role).map((child) =>
            child.name
        );
    }

    /** Reads from a stand-in's controls. */
    async control<T>(name: string, path: string, body?: object): Promise<T> {
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

    /** Everything that endpoints received so far, also those that were killed. */
    async seenByEndpoints(): Promise<SeenRequest[]> {
        const seen = [...this.pastSeen];
        for (const name of this.liveEndpoints()) {
            seen.push(...await this.seenBy(name));
        }
        return seen;
    }

    /** Everything that services executed so far, also those that were killed. */
    async executions(): Promise<ServiceExecution[]> {
        const executions = [...this.pastExecutions];
        for (const service of this.liveEndpoints(PlaygroundRole.Service)) {
            executions.push(...await this.executionsOf(service));
        }
        return executions;
    }

    /** Keeps what a stand-in saw, before it is killed. */
    async remember(name: string): Promise<void> {
        this.pastSeen.push(...await this.seenBy(name));
        if (this.namesOf(PlaygroundRole.Service).includes(name)) {
            this.pastExecutions.push(...await this.executionsOf(name));
        }
    }

    /** Runs the operator's command. */
    operate(commandArguments: readonly string[]): Promise<OperatorResult> {
        const [program, ...first] = this.playground.state.operator;
        return new Promise((resolve) => {
            execFile(program!, [...first, ...commandArguments], (error, output, errors) => {
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
            case CallKind.Stamp:
                return state.nonIdempotent;
            case CallKind.Lookup:
                return state.idempotentService;
        }
    }

    private liveEndpoints(...roles: PlaygroundRole[]): string[] {
        const wanted = roles.length > 0 ? roles : [PlaygroundRole.Engine, PlaygroundRole.Service];
        return wanted.flatMap((role) => this.namesOf(role))
            .filter((name) => this.playground.child(name).isRunning);
    }

    private async seenBy(name: string): Promise<readonly SeenRequest[]> {
        const report = await this.control<SeenReport & { probes?: SeenReport; }>(name, "/control/seen");
        return [...report.requests, ...report.probes?.requests ?? []];
    }

    private async executionsOf(service: string): Promise<ServiceExecution[]> {
        const list = await this.control<{ body: string; }[]>(service, "/control/executions");
        return list.map(({ body }) => ({ service, body }));
    }
}

/**
 * Starts a playground: stand-ins and the product as separate processes on loopback.
 *
 * @module
 */
import { PortAllocator } from "@redwingpin/standins";
import { execFile } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { request } from "undici";
import { waitUntilAccountServed } from "./accountReadiness.js";
import { PlaygroundChild } from "./childProcess.js";
import {
    createDeployment,
    defaultSize,
    type Deployment,
    DeploymentName,
    type DeploymentSize,
} from "./deployment.js";
import { createReaderViews } from "./networkPlan.js";
import {
    planPlayground,
    playgroundHost,
    type PlaygroundPlan,
    type ProcessPlan,
    programPath,
} from "./processPlans.js";
import type { PlaygroundState } from "./state.js";

/** Options of {@link startPlayground}. */
export interface PlaygroundOptions extends Partial<DeploymentSize> {
    /** @default DeploymentName.Sample */
    readonly deployment?: DeploymentName;
    /**
     * If true, processes connect through the network stand-in, whose links can be partitioned.
     * @default false
     */
    readonly usesNetworkStandin?: boolean;
}

/** A running playground. */
export interface Playground {
    readonly state: PlaygroundState;
    /** Folder with the log files of all processes. */
    readonly folder: string;
    /** Returns the process with this name. Throws if there is none. */
    child(name: string): PlaygroundChild;
    /** Restarts a process on the same address once it has exited, and waits until it is ready. */
    restart(name: string): Promise<PlaygroundChild>;
    /** Stops every process, the product first, and removes the folder. */
    stop(): Promise<void>;
    /** Kills every process and removes the folder. */
    kill(): Promise<void>;
}

const productStopTimeoutMilliseconds = 10_000;
const standinStopTimeoutMilliseconds = 2_000;
const fleetKeyBytes = 32;
const secretFileMode = 0o600;

/** Starts all processes, applies the manifest, and waits until every router serves every account. */
export async function startPlayground(options: PlaygroundOptions = {}): Promise<Playground> {
    const folder = await mkdtemp(join(tmpdir(), "redwingpin-playground-"));
    const playground = new RunningPlayground(folder, options);
    try {
        await playground.start();
        return playground;
    }
    catch (error) {
        await playground.killProcesses();
        throw error;
    }
}

class RunningPlayground implements Playground {
    private readonly children = new Map<string, PlaygroundChild>();
    private readonly deployment: Deployment;
    private readonly size: DeploymentSize;
    private plan!: PlaygroundPlan;

    constructor(readonly folder: string, private readonly options: PlaygroundOptions) {
        const name = options.deployment ?? DeploymentName.Sample;
        const { routers, engines, services } = defaultSize(name);
        this.size = {
            routers: options.routers ?? routers,
            engines: options.engines ?? engines,
            services: options.services ?? services,
        };
        this.deployment = createDeployment(name, this.size);
    }

    get state(): PlaygroundState {
        const { keys, models, nonIdempotent, idempotentService } = this.deployment;
        return {
            routers: this.plan.routers.map((router) => router.address!),
            keys,
            models,
            manifest: this.manifestFile,
            operator: this.operatorCommand,
            processes: [...this.children.values()].map((child) => {
                const { name, role, command, environment, control } = child.plan;
                return { name, role, pid: child.pid, command, environment, control };
            }),
            nonIdempotent,
            idempotentService,
        };
    }

    async start(): Promise<void> {
        const fleetKeyFile = join(this.folder, "fleet.key");
        const fleetKey = randomBytes(fleetKeyBytes).toString("base64url");
        await writeFile(fleetKeyFile, fleetKey, { mode: secretFileMode });
        await writeFile(this.manifestFile, `${JSON.stringify(this.deployment.manifest, undefined, 4)}\n`);
        const ports = new PortAllocator(playgroundHost);
        this.plan = await planPlayground({
            deployment: this.deployment,
            size: this.size,
            ports,
            fleetKeyFile,
            linksFile: this.options.usesNetworkStandin ? this.linksFile : undefined,
        });
        await writeFile(this.linksFile, JSON.stringify(this.plan.links));
        await this.startProcesses(this.plan.standins);
        await this.publishVirtualMachines();
        await Promise.all([
            this.startProcesses([...this.plan.agents, ...this.plan.routers]),
            this.applyManifest(),
        ]);
        await this.waitUntilServing();
    }

    child(name: string): PlaygroundChild {
        const child = this.children.get(name);
        if (!child) {
            throw new Error(
                `process "${name}" does not exist; known processes: ${[...this.children.keys()].join(", ")}`,
            );
        }
        return child;
    }

    async restart(name: string): Promise<PlaygroundChild> {
        const previous = this.child(name);
        await previous.exited;
        const child = this.startProcess(previous.plan);
        await child.waitUntilReady();
        return child;
    }

    async stop(): Promise<void> {
        await this.stopProcesses();
        await rm(this.folder, { recursive: true, force: true });
    }

    async kill(): Promise<void> {
        await this.killProcesses();
        await rm(this.folder, { recursive: true, force: true });
    }

    async killProcesses(): Promise<void> {
        await Promise.all([...this.children.values()].map((child) => child.kill()));
    }

    private async stopProcesses(): Promise<void> {
        const product = [...this.plan?.routers ?? [], ...this.plan?.agents ?? []];
        await this.stopPlanned(product, productStopTimeoutMilliseconds);
        await this.stopPlanned(this.plan?.standins ?? [], standinStopTimeoutMilliseconds);
    }

    /** Waits until each router serves each account. */
    private async waitUntilServing(): Promise<void> {
        for (const router of this.plan.routers) {
            for (const account of this.deployment.manifest.accounts) {
                await waitUntilAccountServed(router.address!, this.deployment, account.name);
            }
        }
    }

    private get manifestFile(): string {
        return join(this.folder, "manifest.json");
    }

    private get linksFile(): string {
        return join(this.folder, "links.json");
    }

    private get operatorCommand(): string[] {
        const variables = Object.entries(this.plan.operatorEnvironment).map(([name, value]) =>
            `${name}=${value}`
        );
        return ["env", ...variables, process.execPath, programPath("command")];
    }

    private async startProcesses(plans: readonly ProcessPlan[]): Promise<void> {
        await Promise.all(plans.map((plan) => this.startProcess(plan).waitUntilReady()));
    }

    private startProcess(plan: ProcessPlan): PlaygroundChild {
        const child = new PlaygroundChild(plan, join(this.folder, `${plan.name}.log`));
        this.children.set(plan.name, child);
        return child;
    }

    private async publishVirtualMachines(): Promise<void> {
        await this.putToVirtualMachineList("views", createReaderViews(this.plan.links, playgroundHost));
        await this.putToVirtualMachineList("virtualMachines", this.plan.virtualMachines);
    }

    private async putToVirtualMachineList(controlPath: string, body: object): Promise<void> {
        const address = `${this.plan.virtualMachineListControl}/control/${controlPath}`;
        const answer = await request(address, { method: "PUT", body: JSON.stringify(body) });
        await answer.body.dump();
    }

    private async applyManifest(): Promise<void> {
        const [program, ...operatorArguments] = this.operatorCommand;
        await promisify(execFile)(program!, [...operatorArguments, "manifest", "apply", this.manifestFile]);
    }

    private async stopPlanned(plans: readonly ProcessPlan[], timeout: number): Promise<void> {
        const children = plans.flatMap((plan) => this.children.get(plan.name) ?? []);
        await Promise.all(children.map((child) => child.stop(timeout)));
    }
}

/**
 * A playground: the stand-ins and the product as separate processes on loopback.
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
import { PlaygroundChild } from "./childProcess.js";
import {
    createDeployment,
    defaultSize,
    type Deployment,
    DeploymentName,
    type DeploymentSize,
} from "./deployment.js";
import { viewsOf } from "./networkPlan.js";
import {
    planPlayground,
    playgroundHost,
    type PlaygroundPlan,
    type ProcessPlan,
    programOf,
} from "./processPlans.js";
import type { PlaygroundState } from "./state.js";
import { untilAnswered } from "./warmUp.js";

/** Options of {@link startPlayground}. */
export interface PlaygroundOptions extends Partial<DeploymentSize> {
    /** @default DeploymentName.Sample */
    readonly deployment?: DeploymentName;
    /**
     * True puts a network between the processes whose links can be cut.
     * @default false
     */
    readonly cuttableNetwork?: boolean;
}

/** A running playground. */
export interface Playground {
    readonly state: PlaygroundState;
    /** Folder with each process's log. */
    readonly folder: string;
    /** The started process of a name. */
    child(name: string): PlaygroundChild;
    /** Starts a process that has ended again, on the same address, and waits until it is ready. */
    restart(name: string): Promise<PlaygroundChild>;
    /** Asks every process to stop, the product first, and waits for them. */
    stop(): Promise<void>;
    /** Kills every process. */
    kill(): Promise<void>;
}

const productStopLimitMilliseconds = 10_000;
const standinStopLimitMilliseconds = 2_000;
const fleetKeyBytes = 32;
const secretFileMode = 0o600;

/** Starts everything, applies the manifest with the operator's command and waits until every router is ready. */
export async function startPlayground(options: PlaygroundOptions = {}): Promise<Playground> {
    const folder = await mkdtemp(join(tmpdir(), "redwingpin-playground-"));
    const playground = new PlaygroundProcesses(folder, options);
    try {
        await playground.start();
        return playground;
    }
    catch (error) {
        await playground.killProcesses();
        throw error;
    }
}

class PlaygroundProcesses implements Playground {
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
            operator: this.operator,
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
            linksFile: this.options.cuttableNetwork ? this.linksFile : undefined,
        });
        await writeFile(this.linksFile, JSON.stringify(this.plan.links));
        await this.launch(this.plan.standins);
        await this.publishVirtualMachines();
        await Promise.all([this.launch([...this.plan.agents, ...this.plan.routers]), this.applyManifest()]);
        await this.untilServing();
    }

    child(name: string): PlaygroundChild {
        const child = this.children.get(name);
        if (!child) {
            throw new Error(
                `process "${name}" does not exist; there are ${[...this.children.keys()].join(", ")}`,
            );
        }
        return child;
    }

    async restart(name: string): Promise<PlaygroundChild> {
        const before = this.child(name);
        await before.ended;
        const child = this.spawn(before.plan);
        await child.untilReady();
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
        await this.stopAll(product, productStopLimitMilliseconds);
        await this.stopAll(this.plan?.standins ?? [], standinStopLimitMilliseconds);
    }

    /** Waits until each account has had an answer through each router. */
    private async untilServing(): Promise<void> {
        for (const router of this.plan.routers) {
            for (const account of this.deployment.manifest.accounts) {
                await untilAnswered(router.address!, this.deployment, account.name);
            }
        }
    }

    private get manifestFile(): string {
        return join(this.folder, "manifest.json");
    }

    private get linksFile(): string {
        return join(this.folder, "links.json");
    }

    private get operator(): string[] {
        const variables = Object.entries(this.plan.operatorEnvironment).map(([name, value]) =>
            `${name}=${value}`
        );
        return ["env", ...variables, process.execPath, programOf("command")];
    }

    private async launch(plans: readonly ProcessPlan[]): Promise<void> {
        await Promise.all(plans.map((plan) => this.spawn(plan).untilReady()));
    }

    private spawn(plan: ProcessPlan): PlaygroundChild {
        const child = new PlaygroundChild(plan, join(this.folder, `${plan.name}.log`));
        this.children.set(plan.name, child);
        return child;
    }

    private async publishVirtualMachines(): Promise<void> {
        await this.putToVirtualMachineList("views", viewsOf(this.plan.links, playgroundHost));
        await this.putToVirtualMachineList("virtualMachines", this.plan.virtualMachines);
    }

    private async putToVirtualMachineList(control: string, body: object): Promise<void> {
        const address = `${this.plan.virtualMachineListControl}/control/${control}`;
        const answer = await request(address, { method: "PUT", body: JSON.stringify(body) });
        await answer.body.dump();
    }

    private async applyManifest(): Promise<void> {
        const [program, ...operatorArguments] = this.operator;
        await promisify(execFile)(program!, [...operatorArguments, "manifest", "apply", this.manifestFile]);
    }

    private async stopAll(plans: readonly ProcessPlan[], limit: number): Promise<void> {
        const children = plans.flatMap((plan) => this.children.get(plan.name) ?? []);
        await Promise.all(children.map((child) => child.stop(limit)));
    }
}

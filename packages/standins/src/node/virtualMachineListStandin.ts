/**
 * Stand-in for the platform's VM list: the HTTP service discovery format of Prometheus.
 *
 * The list is at `GET /virtualMachines`. Controls: `PUT /control/virtualMachines` replaces it, `GET` of the same
 * shows what was put, `POST /control/lag {"milliseconds": N}` delays when later changes become visible, and
 * `POST /control/outage {"mode": "down" | "up"}`. `GET /virtualMachines?reader=NAME` gives the targets by which that
 * reader reaches them, set by `PUT /control/views {READER: {TARGET: TARGET}}`. The same process stands in for the weight store: `GET
 * /weights/NAME` answers once the weights are transferred, and `GET /control/weights` shows the transfers.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    HttpListener,
    pathOf,
    readBody,
    readJson,
    sendJson,
    type Standin,
    type StandinOptions,
} from "./httpListener.js";
import { WeightStore } from "./weightStore.js";

/** Path of the list. */
export const virtualMachinesPath = "/virtualMachines";

/** Path under which weights are transferred. */
export const weightsPath = "/weights";

const defaultTransferMilliseconds = 1_000;

/** One entry of the list. */
export interface TargetGroup {
    /** One `host:port`. */
    readonly targets: readonly string[];
    readonly labels: Readonly<Record<string, string>>;
}

/** For each reader, the target by which it reaches each target of the list. */
export type VirtualMachineViews = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Options of {@link startVirtualMachineListStandin}. */
export interface VirtualMachineListStandinOptions extends StandinOptions {
    /** @default [] */
    readonly virtualMachines?: readonly TargetGroup[];
    /**
     * Time of one transfer of weights, in milliseconds.
     * @default 1000
     */
    readonly transferMilliseconds?: number;
}

/** Starts the stand-in. */
export async function startVirtualMachineListStandin(
    options: VirtualMachineListStandinOptions = {},
): Promise<Standin> {
    const standin = new VirtualMachineListStandin(options);
    await standin.start();
    return standin;
}

class VirtualMachineListStandin implements Standin {
    private readonly listener: HttpListener;
    private readonly control: HttpListener;
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly weights: WeightStore;
    private visible: unknown;
    private latest: unknown;
    private views: VirtualMachineViews = {};
    private lagMilliseconds = 0;

    constructor(options: VirtualMachineListStandinOptions) {
        this.visible = options.virtualMachines ?? [];
        this.latest = this.visible;
        this.weights = new WeightStore(options.transferMilliseconds ?? defaultTransferMilliseconds);
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
        return `${this.listener.address}${virtualMachinesPath}`;
    }

    get controlAddress(): string {
        return this.control.address;
    }

    async start(): Promise<void> {
        await this.listener.open();
        await this.control.open();
    }

    async stop(): Promise<void> {
        this.timers.forEach((timer) => clearTimeout(timer));
        await this.listener.close();
        await this.control.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = pathOf(request);
        if (path === virtualMachinesPath) {
            const reader = new URL(request.url!, this.listener.address).searchParams.get("reader");
            sendJson(response, 200, this.viewOf(reader ?? ""));
            return;
        }
        if (path.startsWith(`${weightsPath}/`)) {
            await this.weights.transfer(decodeURIComponent(path.slice(weightsPath.length + 1)));
            sendJson(response, 200, {});
            return;
        }
        sendJson(response, 404, { message: "not found" });
    }

    private async serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (`${request.method} ${pathOf(request)}`) {
            case "GET /control/virtualMachines":
                break;
            case "PUT /control/views":
                this.views = await readJson<VirtualMachineViews>(request) as VirtualMachineViews;
                break;
            case "GET /control/weights":
                sendJson(response, 200, this.weights.report());
                return;
            case "PUT /control/virtualMachines":
                this.replace(JSON.parse((await readBody(request)).toString("utf8")));
                break;
            case "POST /control/lag":
                this.lagMilliseconds = Number(
                    (await readJson<{ milliseconds: number; }>(request)).milliseconds ?? 0,
                );
                break;
            case "POST /control/outage":
                await this.setOutage((await readJson<{ mode: string; }>(request)).mode);
                break;
            default:
                sendJson(response, 404, { message: "no such control" });
                return;
        }
        sendJson(response, 200, this.latest);
    }

    /** The list with the targets by which a reader reaches them, where it has a view of its own. */
    private viewOf(reader: string): unknown {
        const view = this.views[reader];
        if (view === undefined) {
            return this.visible;
        }
        return (this.visible as readonly TargetGroup[]).map((group) => ({
            ...group,
            targets: group.targets.map((target) => view[target] ?? target),
        }));
    }

    private replace(list: unknown): void {
        this.latest = list;
        if (this.lagMilliseconds === 0) {
            this.visible = list;
            return;
        }
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.visible = list;
        }, this.lagMilliseconds);
        this.timers.add(timer);
    }

    private setOutage(mode: string | undefined): Promise<void> {
        return mode === "down" ? this.listener.close() : this.listener.open();
    }
}

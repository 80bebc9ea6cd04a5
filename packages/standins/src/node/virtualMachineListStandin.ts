/**
 * Stand-in for the platform's VM list, in the format of Prometheus' HTTP service discovery.
 *
 * `GET /virtualMachines` returns the list. `GET /virtualMachines?reader=NAME` returns it with the targets that this
 * reader connects to, as set by `PUT /control/views {READER: {TARGET: TARGET}}`. The process is also the stand-in for
 * the weight store: `GET /weights/NAME` answers once the weights are transferred.
 *
 * Control paths: `PUT /control/virtualMachines` replaces the list, and `GET` on the same path returns the latest one.
 * `POST /control/lag {"milliseconds": N}` delays later changes of the list. `POST /control/outage {"mode": "down" |
 * "up"}` closes or opens the port. `GET /control/weights` returns the transfers of weights.
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

export const virtualMachinesPath = "/virtualMachines";

/** Base path of the weights. */
export const weightsPath = "/weights";

const defaultTransferMilliseconds = 1_000;

/** One entry of the list. */
export interface TargetGroup {
    /** A single address, as `host:port`. */
    readonly targets: readonly string[];
    readonly labels: Readonly<Record<string, string>>;
}

/** Maps each reader to a map from targets of the list to the targets that the reader connects to instead. */
export type VirtualMachineViews = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Options of {@link startVirtualMachineListStandin}. */
export interface VirtualMachineListStandinOptions extends StandinOptions {
    /** @default [] */
    readonly virtualMachines?: readonly TargetGroup[];
    /**
     * Duration of one transfer of weights, in milliseconds.
     * @default 1000
     */
    readonly transferMilliseconds?: number;
}

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
    private readonly pendingTimers = new Set<NodeJS.Timeout>();
    private readonly weightStore: WeightStore;
    private visibleList: unknown;
    private latestList: unknown;
    private views: VirtualMachineViews = {};
    private lagMilliseconds = 0;

    constructor(options: VirtualMachineListStandinOptions) {
        this.visibleList = options.virtualMachines ?? [];
        this.latestList = this.visibleList;
        this.weightStore = new WeightStore(options.transferMilliseconds ?? defaultTransferMilliseconds);
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
        this.pendingTimers.forEach((timer) => clearTimeout(timer));
        await this.listener.close();
        await this.control.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = pathOf(request);
        if (path === virtualMachinesPath) {
            const reader = new URL(request.url!, this.listener.address).searchParams.get("reader");
            sendJson(response, 200, this.listFor(reader ?? ""));
            return;
        }
        if (path.startsWith(`${weightsPath}/`)) {
            await this.weightStore.transfer(decodeURIComponent(path.slice(weightsPath.length + 1)));
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
                sendJson(response, 200, this.weightStore.report());
                return;
            case "PUT /control/virtualMachines":
                this.replaceList(JSON.parse((await readBody(request)).toString("utf8")));
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
                sendJson(response, 404, { message: "no such control path" });
                return;
        }
        sendJson(response, 200, this.latestList);
    }

    /** Returns the list, with its targets replaced by those that the reader connects to. */
    private listFor(reader: string): unknown {
        const view = this.views[reader];
        if (view === undefined) {
            return this.visibleList;
        }
        return (this.visibleList as readonly TargetGroup[]).map((group) => ({
            ...group,
            targets: group.targets.map((target) => view[target] ?? target),
        }));
    }

    private replaceList(list: unknown): void {
        this.latestList = list;
        if (this.lagMilliseconds === 0) {
            this.visibleList = list;
            return;
        }
        const timer = setTimeout(() => {
            this.pendingTimers.delete(timer);
            this.visibleList = list;
        }, this.lagMilliseconds);
        this.pendingTimers.add(timer);
    }

    private setOutage(mode: string | undefined): Promise<void> {
        return mode === "down" ? this.listener.close() : this.listener.open();
    }
}

/**
 * Asks endpoints at contested addresses which instance they are. An address is contested if several registrations name
 * it, or if one names it while requests run at another endpoint there.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import type { DirectEndpoint, FleetState } from "@redwingpin/fleet";
import { request } from "node:http";
import type { EndpointTable } from "../decision/endpointTable.js";
import type { HeaderCodec } from "../headerCodec.js";

/** Time limit of a probe; a busy endpoint answers health checks within some hundred milliseconds. */
const probeTimeout: Milliseconds = 1_000;

/** Minimum interval of the probes of one address, however often its registrations change. */
const probeInterval: Milliseconds = 500;

/** Maximum number of probes that run at a time, so that many contested addresses cause few connections. */
const maxConcurrentProbes = 16;

/** Options of {@link IdentityProbe}. */
export interface IdentityProbeOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly state: FleetState;
    readonly endpointTable: EndpointTable;
    readonly headerCodec: HeaderCodec;
}

/** Probes endpoints by a health check and records the instance that its answer states. */
export class IdentityProbe {
    private readonly running = new Set<string>();
    /** When each contested address was probed last. */
    private readonly probedAt = new Map<string, Milliseconds>();

    constructor(private readonly options: IdentityProbeOptions) {}

    /** Starts the probes that are due. */
    run(): void {
        const now = this.options.clock.now();
        const contested = this.options.endpointTable.contestedAddresses();
        for (const address of this.probedAt.keys()) {
            if (!contested.has(address)) {
                this.probedAt.delete(address);
            }
        }
        const lastProbe = (address: string) => this.probedAt.get(address) ?? 0;
        // Those probed longest ago go first, so that addresses without an answer don't keep others from being probed.
        const byAge = [...contested].sort(([left], [right]) => lastProbe(left) - lastProbe(right));
        for (const [address, endpoints] of byAge) {
            const path = this.healthPath(endpoints);
            const probedAt = this.probedAt.get(address);
            const isDue = !this.running.has(address)
                && (probedAt === undefined || now - probedAt >= probeInterval);
            if (path !== undefined && isDue && this.running.size < maxConcurrentProbes) {
                this.running.add(address);
                this.probedAt.set(address, now);
                void this.probe(address, endpoints[0], path)
                    .catch((error: unknown) => {
                        const { logger } = this.options;
                        logger.warn("probe of an endpoint failed", { address, error: String(error) });
                    })
                    .finally(() => this.running.delete(address));
            }
        }
    }

    /** Path of the health check of the first service that is configured; nothing is sent to the others. */
    private healthPath(endpoints: readonly DirectEndpoint[]): string | undefined {
        const services = this.options.state.configuration?.services ?? [];
        return endpoints
            .map((endpoint) => services.find(({ name }) => name === endpoint.service)?.healthPath)
            .find((path) => path !== undefined && path !== "");
    }

    private async probe(address: string, { host, port }: DirectEndpoint, path: string): Promise<void> {
        const { endpointTable, headerCodec, logger } = this.options;
        const rawHeaders = await requestHead(host, port, path);
        const instance = rawHeaders && headerCodec.readAnswer(rawHeaders).instance;
        if (instance !== undefined && endpointTable.recordIdentity(address, instance)) {
            logger.info("endpoint at a contested address identified", { address, endpoint: instance });
        }
    }
}

/** Resolves with the header fields of an answer; `undefined` if there is none. Its body is not read. */
function requestHead(host: string, port: number, path: string): Promise<string[] | undefined> {
    return new Promise((resolve) => {
        const call = request({ host, port, path, agent: false, signal: AbortSignal.timeout(probeTimeout) });
        const end = (rawHeaders?: string[]) => {
            call.destroy();
            resolve(rawHeaders);
        };
        call.on("response", (response) => end(response.rawHeaders));
        call.on("error", () => end());
        call.end();
    });
}

/**
 * Checks the endpoints at intervals: whether unregistered ones are lost, and whether answers are overdue.
 *
 * @module
 */
import type { EndpointModelSettings } from "../decision/endpointModelSettings.js";
import { LossProbe, type LossProbeOptions } from "./lossProbe.js";

/** Options of {@link EndpointChecks}. */
export interface EndpointChecksOptions extends LossProbeOptions {
    readonly endpointModel: () => EndpointModelSettings;
    /** Number of live routers, including this one. */
    readonly routerCount: () => number;
    /** Returns a random number that is at least 0 and less than 1. */
    readonly random: () => number;
}

/** Runs the checks. */
export class EndpointChecks {
    private readonly lossProbe: LossProbe;

    constructor(private readonly options: EndpointChecksOptions) {
        this.lossProbe = new LossProbe(options);
    }

    /** Starts the probes of unregistered endpoints that are due. */
    probeUnregistered(): void {
        this.lossProbe.run();
    }

    /** Runs all checks. */
    run(): void {
        this.lossProbe.run();
        const { clock, endpointModel, endpointTable, logger, random, routerCount } = this.options;
        if (endpointModel().speed) {
            endpointTable.updateEstimates(clock.now());
        }
        if (!endpointModel().unresponsiveness) {
            return;
        }
        for (
            const { endpoint, running } of endpointTable.checkResponses(clock.now(), routerCount(), random)
        ) {
            const { instance, service } = endpoint;
            logger.warn("endpoint unresponsive", { endpoint: instance, service, running });
        }
    }
}

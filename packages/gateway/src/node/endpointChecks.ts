/**
 * Checks the endpoints at intervals: whether unregistered ones are lost, which instance is at a contested address, and
 * whether answers are overdue.
 *
 * @module
 */
import type { EndpointModelSettings } from "../decision/endpointModelSettings.js";
import { IdentityProbe, type IdentityProbeOptions } from "./identityProbe.js";
import { LossProbe } from "./lossProbe.js";

/** Options of {@link EndpointChecks}. */
export interface EndpointChecksOptions extends IdentityProbeOptions {
    readonly endpointModel: () => EndpointModelSettings;
    /** Number of live routers, including this one. */
    readonly routerCount: () => number;
    /** Returns a random number that is at least 0 and less than 1. */
    readonly random: () => number;
}

/** Runs the checks. */
export class EndpointChecks {
    private readonly lossProbe: LossProbe;
    private readonly identityProbe: IdentityProbe;

    constructor(private readonly options: EndpointChecksOptions) {
        this.lossProbe = new LossProbe(options);
        this.identityProbe = new IdentityProbe(options);
    }

    /** Starts the probes that are due. */
    probe(): void {
        this.lossProbe.run();
        this.identityProbe.run();
    }

    /** Runs all checks. */
    run(): void {
        this.probe();
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

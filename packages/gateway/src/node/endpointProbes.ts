/**
 * The probes that find out what registrations do not tell: whether an endpoint still runs, and which instance it is.
 *
 * @module
 */
import { IdentityProbe, type IdentityProbeOptions } from "./identityProbe.js";
import { LossProbe } from "./lossProbe.js";

/** Runs the probes that are due. */
export class EndpointProbes {
    private readonly lossProbe: LossProbe;
    private readonly identityProbe: IdentityProbe;

    constructor(options: IdentityProbeOptions) {
        const logger = options.logger.scope("endpoints");
        this.lossProbe = new LossProbe({ ...options, logger });
        this.identityProbe = new IdentityProbe({ ...options, logger });
    }

    /** Starts the probes that are due. */
    run(): void {
        this.lossProbe.run();
        this.identityProbe.run();
    }
}

/**
 * Finds out whether endpoints that are no longer registered still run. Removal of a registration does not tell: an
 * endpoint may serve on without having reported that it leaves, and one without power answers nothing, so that its
 * connections stay open.
 *
 * @module
 */
import {
    type Clock,
    connectTimeoutMilliseconds,
    type Logger,
    type Milliseconds,
    sleep,
} from "@redwingpin/common";
import type { DirectEndpoint } from "@redwingpin/fleet";
import { connect } from "node:net";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";

/** Connections that are tried at a time, so that a packet that is lost on its way is no evidence. */
const connectionsPerProbe = 2;

/** Delay between the probes of an endpoint at which requests still run. */
const probeInterval: Milliseconds = 500;

/** Options of {@link LossProbe}. */
export interface LossProbeOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly endpointTable: EndpointTable;
}

/**
 * Probes unregistered endpoints at which requests of this router run. An endpoint is declared lost if it accepts no
 * connection within the connect timeout and no part of an answer arrives from it meanwhile. One that has only closed
 * its port still sends the answers that it works on.
 */
export class LossProbe {
    private readonly probed = new WeakSet<EndpointState>();

    constructor(private readonly options: LossProbeOptions) {}

    /** Starts the probes that are due. */
    run(): void {
        for (const endpointState of this.options.endpointTable.runningUnregistered()) {
            if (!this.probed.has(endpointState)) {
                this.probed.add(endpointState);
                void this.probe(endpointState).then(() => this.probed.delete(endpointState));
            }
        }
    }

    private async probe(endpointState: EndpointState): Promise<void> {
        const { clock, logger } = this.options;
        const { endpoint } = endpointState;
        const startedAt = clock.now();
        const connected = await Promise.all(
            Array.from({ length: connectionsPerProbe }, () => acceptsConnections(endpoint)),
        );
        if (connected.includes(true)) {
            await sleep(clock, probeInterval);
            return;
        }
        await sleep(clock, Math.max(0, startedAt + connectTimeoutMilliseconds - clock.now()));
        if (!endpointState.hasAnsweredSince(startedAt) && endpointState.running > 0) {
            logger.warn("endpoint lost", { endpoint: endpoint.instance, running: endpointState.running });
            endpointState.declareLost();
        }
    }
}

/** Resolves with false if connections are refused or not answered. A reset one was accepted before. */
function acceptsConnections({ host, port }: DirectEndpoint): Promise<boolean> {
    return new Promise((resolve) => {
        const socket = connect({ host, port, timeout: connectTimeoutMilliseconds });
        const end = (isAccepted: boolean) => {
            socket.destroy();
            resolve(isAccepted);
        };
        socket.once("connect", () => end(true));
        socket.once("timeout", () => end(false));
        socket.once("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNRESET"));
    });
}

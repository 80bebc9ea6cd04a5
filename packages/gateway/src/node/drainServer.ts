/**
 * Ends the service of a stopping router without interrupting requests.
 *
 * @module
 */
import { type Clock, type Logger, type Milliseconds, sleep } from "@redwingpin/common";
import type { DirectServer } from "./directServer.js";

/**
 * Share of the stop timeout during which connections are still accepted: the load balancer checks readiness each second
 * and needs two answers.
 */
const acceptShare = 0.36;

/** Time for which a stopping router waits for the first request on a connection. */
const firstRequestWait: Milliseconds = 1_000;

/** Options of {@link drainServer}. */
export interface DrainOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly server: DirectServer;
    /** Maximum time from the stop signal to the end of the process. */
    readonly stopTimeout: Milliseconds;
    /** Part of it that is reserved for sending the last answers. */
    readonly stopMargin: Milliseconds;
    /** Called once no more connections are accepted, with the time until which requests may run. */
    readonly onAcceptEnd: (end: Milliseconds) => void;
}

/** Resolves when no request runs any more, or when the time for that has passed. */
export async function drainServer(options: DrainOptions): Promise<void> {
    const { clock, logger, onAcceptEnd, server, stopMargin, stopTimeout } = options;
    const end = clock.now() + stopTimeout - stopMargin;
    await sleep(clock, stopTimeout * acceptShare);
    onAcceptEnd(end);
    logger.info("stopped accepting connections", { running: server.runningRequests });
    const pollInterval = 50;
    do {
        // Connections that were not accepted, and requests that were not read, would be reset.
        await server.acceptPending();
        server.closeIdle();
        await sleep(clock, pollInterval);
    }
    while (server.isInUse(firstRequestWait) && clock.now() < end);
}

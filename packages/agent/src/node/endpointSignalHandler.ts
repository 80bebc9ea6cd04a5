/**
 * Applies what the endpoint states in its answers about the requests that it wants. The agent is the only way in to its
 * endpoint, so a limit holds for all routers together if the agent keeps to it.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import { EndpointSignal, EndpointSignals, readStatedSignals } from "@redwingpin/scheduling";
import type { EndpointAnswer } from "./endpointClient.js";
import type { RequestScheduler } from "./requestScheduler.js";

/** Header fields with which endpoints state which requests they want, in lower case. */
enum SignalField {
    Leaving = "server-leaving",
    RetryAfter = "retry-after",
    /** Requests per second. */
    Limit = "server-limit",
}

/** Status with which an endpoint refuses a request. */
const refusalStatus = 503;

/** Options of {@link EndpointSignalHandler}. */
export interface EndpointSignalHandlerOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly scheduler: RequestScheduler;
    /** Called once the endpoint states that it leaves. */
    readonly onLeaving: () => void;
}

/** The statements of one start of an endpoint. */
export class EndpointSignalHandler {
    private signals = new EndpointSignals();

    constructor(private readonly options: EndpointSignalHandlerOptions) {}

    get isLeaving(): boolean {
        return this.signals.isLeaving;
    }

    /** Forgets what the endpoint stated before it started again. */
    reset(): void {
        this.signals = new EndpointSignals();
        this.options.scheduler.resetPace();
    }

    /** Applies the head of an answer to a request that was sent at `sentAt`. */
    observe({ headers, status }: EndpointAnswer, sentAt: Milliseconds): void {
        const { clock, logger, onLeaving, scheduler } = this.options;
        const valuesOf = (field: SignalField) =>
            headers.filter(({ name }) => name.toLowerCase() === field).map(({ value }) => value);
        const stated = readStatedSignals({
            leaving: valuesOf(SignalField.Leaving),
            retryAfter: valuesOf(SignalField.RetryAfter),
            limit: valuesOf(SignalField.Limit),
        });
        const answer = { sentAt, isRefusal: status === refusalStatus };
        const now = clock.now();
        for (const { signal, value } of this.signals.observe(stated, answer, now)) {
            logger.info("endpoint signal", { signal, value });
            switch (signal) {
                case EndpointSignal.Leaving:
                    onLeaving();
                    break;
                case EndpointSignal.Wait:
                    scheduler.pauseUntil(this.signals.nextRequestAt(now) ?? now);
                    break;
                case EndpointSignal.Limit:
                case EndpointSignal.NoLimit:
                    scheduler.setLimit(this.signals.limit?.perSecond);
                    break;
                case EndpointSignal.Unusable:
                    break;
            }
        }
    }
}

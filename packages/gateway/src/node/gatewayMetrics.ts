/**
 * Counters and histograms of direct routes.
 *
 * @module
 */
import {
    createReasonCounters,
    type Milliseconds,
    type ReasonCounters,
    type RefusalReason,
    registerCounter,
    registerGauge,
    type RetryReason,
} from "@redwingpin/common";
import type { ExchangeCounts } from "@redwingpin/fleet";
import { Counter, Histogram, type Registry } from "prom-client";
import { ClientLimitMetrics } from "./clientLimitMetrics.js";
import { HoldMetrics } from "./holdMetrics.js";

const millisecondsPerSecond = 1_000;
const waitBuckets = [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5];
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Sizes in bytes of what a router buffers for requests. */
export interface BufferedBytes {
    readonly [name: string]: number;
    readonly bodies: number;
    readonly answers: number;
}

/** Metrics of the requests on direct routes. */
export class GatewayMetrics {
    readonly holds: HoldMetrics;
    readonly clientLimits: ClientLimitMetrics;
    private readonly reasons: ReasonCounters;
    private readonly requests: Counter<"route" | "outcome">;
    private readonly deniedRetries: Counter<"reason">;
    private readonly signals: Counter<"signal">;
    private readonly excesses: Counter;
    private readonly droppedPrefixes: Counter;
    private readonly internalErrors: Counter;
    private readonly waits: Histogram<"outcome">;
    private readonly duration: Histogram<"route">;
    private readonly firstAnswer: Histogram<"route">;

    constructor(private readonly registry: Registry) {
        const registers = [registry];
        this.holds = new HoldMetrics(registry);
        this.clientLimits = new ClientLimitMetrics(registry);
        this.reasons = createReasonCounters(registry);
        this.requests = new Counter({
            name: "redwingpin_direct_requests_total",
            help: "Requests on direct routes, by route and outcome",
            labelNames: ["route", "outcome"],
            registers,
        });
        this.deniedRetries = new Counter({
            name: "redwingpin_direct_retries_denied_total",
            help: "Retries that the budget did not allow, by reason",
            labelNames: ["reason"],
            registers,
        });
        this.signals = new Counter({
            name: "redwingpin_endpoint_signals_total",
            help: "Changes of what endpoints state about the requests that they want, by signal",
            labelNames: ["signal"],
            registers,
        });
        this.excesses = createExcessCounter(registry);
        this.droppedPrefixes = new Counter({
            name: "redwingpin_saved_prefixes_dropped_total",
            help:
                "Prefixes saved to cache stores that were not reported to other routers, since too many waited",
            registers,
        });
        this.internalErrors = new Counter({
            name: "redwingpin_direct_internal_errors_total",
            help: "Requests that failed by a fault of the router",
            registers,
        });
        this.waits = new Histogram({
            name: "redwingpin_direct_wait_seconds",
            help: "Time from the arrival of a complete request until it is served or not, by outcome",
            labelNames: ["outcome"],
            buckets: waitBuckets,
            registers,
        });
        this.duration = createRouteHistogram(
            registry,
            "redwingpin_direct_request_seconds",
            "Time from a request's arrival to its end, by route",
        );
        this.firstAnswer = createRouteHistogram(
            registry,
            "redwingpin_direct_first_answer_seconds",
            "Time from a request's arrival to the first event or the whole answer, by route",
        );
    }

    /** Registers the gauges of what is buffered. */
    registerBuffers(registry: Registry, read: () => BufferedBytes): void {
        const register = (name: string, help: string, size: () => number) =>
            registerGauge(registry, `redwingpin_buffered_${name}_bytes`, help, size);
        register("body", "Size of the request bodies that are buffered", () => read().bodies);
        register("answer", "Size of the answers of endpoints that are buffered", () => read().answers);
    }

    /** Registers counters of the exchanges with other processes and of the requests for tokens of accounts. */
    observeExchanges(read: () => ExchangeCounts): void {
        const register = (name: string, help: string, count: () => number) =>
            registerCounter(this.registry, `redwingpin_${name}_total`, help, count);
        register("scheduled_exchanges", "Exchanges started when due", () => read().scheduledExchanges);
        register(
            "urgent_exchanges",
            "Exchanges that a change made due before their time; part of the scheduled ones",
            () => read().urgentExchanges,
        );
        register(
            "delivery_exchanges",
            "Exchanges to report spending before a request is refused",
            () => read().deliveryExchanges,
        );
        register("answered_exchanges", "Exchanges that peers started", () => read().answeredExchanges);
        register(
            "token_requests",
            "Requests for tokens of accounts that other routers hold",
            () => read().tokenRequests,
        );
        register(
            "answered_token_requests",
            "Requests of other routers for tokens of accounts that this one holds",
            () => read().answeredTokenRequests,
        );
    }

    recordExcess(): void {
        this.excesses.inc();
    }

    recordConnection(): void {
        this.clientLimits.recordConnection();
    }

    recordInternalError(): void {
        this.internalErrors.inc();
    }

    /** Registers a gauge of the requests that wait to be served. */
    observeWaiting(read: () => number): void {
        registerGauge(
            this.registry,
            "redwingpin_direct_waiting_requests",
            "Complete requests that wait to be served",
            read,
        );
    }

    recordWait(outcome: string, duration: Milliseconds): void {
        this.waits.observe({ outcome }, duration / millisecondsPerSecond);
    }

    recordRefusal(reason: RefusalReason): void {
        this.reasons.countRefusal(reason);
    }

    recordRetry(reason: RetryReason, allowed: boolean): void {
        if (allowed) {
            this.reasons.countRetry(reason);
        }
        else {
            this.deniedRetries.inc({ reason });
        }
    }

    recordDroppedPrefixes(prefixes: number): void {
        this.droppedPrefixes.inc(prefixes);
    }

    recordSignal(signal: string): void {
        this.signals.inc({ signal });
    }

    recordFirstAnswer(route: string, latency: Milliseconds): void {
        this.firstAnswer.observe({ route }, latency / millisecondsPerSecond);
    }

    recordEnd(route: string, outcome: string, duration: Milliseconds): void {
        this.requests.inc({ route, outcome });
        this.duration.observe({ route }, duration / millisecondsPerSecond);
    }
}

function createExcessCounter(registry: Registry): Counter {
    return new Counter({
        name: "redwingpin_endpoint_excess_total",
        help: "Connections to endpoints that were closed since too many bytes were no part of a body",
        registers: [registry],
    });
}

/** Histogram of a latency, by route. */
function createRouteHistogram(registry: Registry, name: string, help: string): Histogram<"route"> {
    return new Histogram({
        name,
        help,
        labelNames: ["route"],
        buckets: latencyBuckets,
        registers: [registry],
    });
}

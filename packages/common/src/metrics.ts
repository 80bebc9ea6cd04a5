/**
 * Metrics over prom-client: one registry a process, with a counter for each refusal and retry reason.
 *
 * @module
 */
import { Counter, Gauge, type Registry } from "prom-client";
import { RefusalReason, RetryReason } from "./reasons.js";

/** Name of the counter of refusals. */
export const refusalsMetricName = "redwingpin_refusals_total";

/** Counters that every process of the product keeps. */
export interface ReasonCounters {
    /** Counts one refusal. */
    refused(reason: RefusalReason): void;
    /** Counts one retry. */
    retried(reason: RetryReason): void;
}

/** Makes the refusal and retry counters in `registry`, with every reason present from the start at zero. */
export function createReasonCounters(registry: Registry): ReasonCounters {
    const refusals = reasonCounter(
        registry,
        refusalsMetricName,
        "Requests refused",
        Object.values(RefusalReason),
    );
    const retries = reasonCounter(
        registry,
        "redwingpin_retries_total",
        "Requests tried again",
        Object.values(RetryReason),
    );
    return {
        refused: (reason) => refusals.inc({ reason }),
        retried: (reason) => retries.inc({ reason }),
    };
}

function reasonCounter(
    registry: Registry,
    name: string,
    help: string,
    reasons: readonly string[],
): Counter<"reason"> {
    const counter = new Counter({
        name,
        help: `${help}, by reason`,
        labelNames: ["reason"],
        registers: [registry],
    });
    for (const reason of reasons) {
        counter.inc({ reason }, 0);
    }
    return counter;
}

/** Adds a gauge to `registry` whose value is read when metrics are collected. */
export function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
    new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
}

/** Adds a counter to `registry` whose value is read when metrics are collected; it must never fall. */
export function registerCounter(registry: Registry, name: string, help: string, read: () => number): void {
    new Counter({
        name,
        help,
        registers: [registry],
        collect() {
            this.reset();
            this.inc(read());
        },
    });
}

/** What routers and agents alike report beside reasons. */
export interface ProcessGauges {
    /** Revision of the configuration in force. */
    readonly revision: () => number;
    /** Bytes that the inner connections have carried. */
    readonly traffic: { readonly sentBytes: number; readonly receivedBytes: number; };
}

/** Adds the metrics that routers and agents share to `registry`. */
export function registerProcessMetrics(registry: Registry, gauges: ProcessGauges): void {
    const { revision, traffic } = gauges;
    registerCounter(
        registry,
        "redwingpin_inner_sent_bytes_total",
        "Bytes of frames sent on inner connections",
        () => traffic.sentBytes,
    );
    registerCounter(
        registry,
        "redwingpin_inner_received_bytes_total",
        "Bytes received on inner connections",
        () => traffic.receivedBytes,
    );
    registerGauge(registry, "redwingpin_configuration_revision", "Revision in force", revision);
}

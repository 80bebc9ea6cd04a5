/**
 * Metrics that routers and agents share, over prom-client. Each process has one registry.
 *
 * @module
 */
import { Counter, Gauge, type Registry } from "prom-client";
import { RefusalReason, RetryReason } from "./reasons.js";

/** Name of the counter of refusals. */
export const refusalsMetricName = "redwingpin_refusals_total";

/** Counters of refusals and retries by reason. */
export interface ReasonCounters {
    countRefusal(reason: RefusalReason): void;
    countRetry(reason: RetryReason): void;
}

/** Registers the counters of refusals and retries in `registry`. Every reason is present from the start, at 0. */
export function createReasonCounters(registry: Registry): ReasonCounters {
    const refusals = createReasonCounter(
        registry,
        refusalsMetricName,
        "Requests refused",
        Object.values(RefusalReason),
    );
    const retries = createReasonCounter(
        registry,
        "redwingpin_retries_total",
        "Requests tried again",
        Object.values(RetryReason),
    );
    return {
        countRefusal: (reason) => refusals.inc({ reason }),
        countRetry: (reason) => retries.inc({ reason }),
    };
}

function createReasonCounter(
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

/** Registers a gauge whose value is read when metrics are collected. */
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

/** Registers a counter whose value is read when metrics are collected. The value must never decrease. */
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

/** Sources of the metrics that routers and agents share, other than the counters by reason. */
export interface ProcessGauges {
    /** Revision of the configuration in force. */
    readonly revision: () => number;
    /** Bytes sent and received on the inner connections, which are those between processes of the fleet. */
    readonly traffic: { readonly sentBytes: number; readonly receivedBytes: number; };
}

/** Registers the metrics that routers and agents share. */
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

/**
 * Metrics of a process's memory, and a log line when it approaches the limit of its machine. A process that exceeds the
 * limit is ended without a line of its own.
 *
 * @module
 */
import type { Registry } from "prom-client";
import type { CancelTimer, Clock, Milliseconds } from "./clock.js";
import type { Logger } from "./logger.js";
import { registerGauge } from "./metrics.js";

/** Share of the limit from which resident memory is logged. */
export const highMemoryShare = 0.85;

/** Interval at which resident memory is compared with the limit. */
const checkInterval: Milliseconds = 500;

/** Minimum time between two log lines. */
const lineInterval: Milliseconds = 10_000;

/** Message of the log line. */
export const highMemoryMessage = "memory is close to the limit";

/** Registers the metrics of the process's memory; `limit` is the memory of its machine in bytes. */
export function registerMemoryMetrics(registry: Registry, limit: number): void {
    const register = (name: string, help: string, read: () => number) =>
        registerGauge(registry, `redwingpin_memory_${name}_bytes`, help, read);
    register("limit", "Memory of the machine", () => limit);
    register("resident", "Resident memory of the process", () => process.memoryUsage.rss());
    register("heap", "Memory reserved for the JavaScript heap", () => process.memoryUsage().heapTotal);
    register("heap_used", "Memory in use on the JavaScript heap", () => process.memoryUsage().heapUsed);
    register(
        "external",
        "Memory outside the heap that JavaScript objects hold, with array buffers",
        () => process.memoryUsage().external,
    );
    register(
        "array_buffers",
        "Memory of array buffers, also of those that have not been collected yet",
        () => process.memoryUsage().arrayBuffers,
    );
}

/** Options of {@link watchMemory}. */
export interface MemoryWatchOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Memory of the machine in bytes. */
    readonly limit: number;
    /**
     * Returns the resident memory in bytes.
     * @default that of this process
     */
    readonly residentBytes?: () => number;
    /** Sizes in bytes to log besides those of the process, by name of the field. */
    readonly details?: () => Readonly<Record<string, number>>;
}

/** Logs when resident memory exceeds {@link highMemoryShare} of the limit, at most once in ten seconds. */
export function watchMemory(options: MemoryWatchOptions): CancelTimer {
    const { clock, limit, logger } = options;
    const residentBytes = options.residentBytes ?? (() => process.memoryUsage.rss());
    let nextLineAt = -Infinity;
    let cancel: CancelTimer = () => {};
    const check = () => {
        const resident = residentBytes();
        const now = clock.now();
        if (resident > limit * highMemoryShare && now >= nextLineAt) {
            nextLineAt = now + lineInterval;
            const { arrayBuffers, external, heapTotal, heapUsed } = process.memoryUsage();
            const sizes = { heapTotal, heapUsed, external, arrayBuffers, ...options.details?.() };
            logger.warn(highMemoryMessage, { resident, limit, ...sizes });
        }
        cancel = clock.schedule(checkInterval, check);
    };
    cancel = clock.schedule(checkInterval, check);
    return () => cancel();
}

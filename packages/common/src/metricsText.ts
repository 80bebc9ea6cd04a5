/**
 * The metrics of a process as text. Encoding them takes milliseconds, so requests at the same time share one text.
 *
 * @module
 */
import type { Registry } from "prom-client";
import { type Clock, type Milliseconds, systemClock } from "./clock.js";

/** A text is used for this many times as long as it took to encode it: a tenth of the time is spent for metrics at most. */
const reuseFactor = 9;

/** Encodes the metrics of a registry. */
export class MetricsText {
    private pending: Promise<string> | undefined;
    private text = "";
    private validUntil: Milliseconds = -Infinity;

    constructor(private readonly registry: Registry, private readonly clock: Clock) {}

    /** Resolves with the metrics, encoded now or a moment ago. */
    read(): Promise<string> {
        if (this.pending === undefined && this.clock.now() < this.validUntil) {
            return Promise.resolve(this.text);
        }
        this.pending ??= this.encode().finally(() => this.pending = undefined);
        return this.pending;
    }

    private async encode(): Promise<string> {
        const start = this.clock.now();
        this.text = await this.registry.metrics();
        const end = this.clock.now();
        this.validUntil = end + reuseFactor * (end - start);
        return this.text;
    }
}

const texts = new WeakMap<Registry, MetricsText>();

/** Resolves with the metrics of a registry, as all ports of the process share them. */
export function readMetricsText(registry: Registry): Promise<string> {
    let text = texts.get(registry);
    if (text === undefined) {
        text = new MetricsText(registry, systemClock);
        texts.set(registry, text);
    }
    return text.read();
}

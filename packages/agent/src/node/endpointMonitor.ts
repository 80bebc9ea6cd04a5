/**
 * Monitors the endpoint's health: whether it answers, its incarnation and the weights that it serves.
 *
 * @module
 */
import { type CancelTimer, type Clock, type Milliseconds, readText } from "@redwingpin/common";
import { EndpointKind } from "@redwingpin/manifest";
import { request } from "undici";

const healthTimeoutMilliseconds = 1_000;

/** Maximum size in bytes of a health report, which has some hundred. */
const maxHealthBytes = 1_048_576;

/** Health of the endpoint at the last check. */
export interface EndpointHealth {
    /** Changes at each start of the endpoint; absent while it doesn't answer. */
    readonly incarnation: string | undefined;
    /** Name of the weights that an engine serves; absent for services and while weights load. */
    readonly weights: string | undefined;
    /** Adapters that an engine has loaded. */
    readonly adapters: readonly string[];
}

/** Options of {@link EndpointMonitor}. */
export interface EndpointMonitorOptions {
    readonly address: string;
    readonly kind: EndpointKind;
    readonly clock: Clock;
    readonly interval: Milliseconds;
    readonly onChange: (health: EndpointHealth, before: EndpointHealth) => void;
}

const unknownHealth: EndpointHealth = { incarnation: undefined, weights: undefined, adapters: [] };

/** Requests the endpoint's health at an interval and on demand. */
export class EndpointMonitor {
    private health = unknownHealth;
    private cancelTimer: CancelTimer = () => {};
    private isStopped = false;

    constructor(private readonly options: EndpointMonitorOptions) {}

    get current(): EndpointHealth {
        return this.health;
    }

    /** Checks the health immediately and then at the interval. */
    async start(): Promise<void> {
        await this.checkHealth();
    }

    stop(): void {
        this.isStopped = true;
        this.cancelTimer();
    }

    /** Checks the health immediately, for example after a request was interrupted. */
    async checkHealth(): Promise<void> {
        this.cancelTimer();
        const before = this.health;
        this.health = await this.requestHealth();
        if (this.isStopped) {
            return;
        }
        if (JSON.stringify(before) !== JSON.stringify(this.health)) {
            this.options.onChange(this.health, before);
        }
        this.cancelTimer = this.options.clock.schedule(this.options.interval, () => void this.checkHealth());
    }

    private async requestHealth(): Promise<EndpointHealth> {
        try {
            const answer = await request(`${this.options.address}/health`, {
                headersTimeout: healthTimeoutMilliseconds,
                bodyTimeout: healthTimeoutMilliseconds,
            });
            const text = await readText(answer.body, maxHealthBytes);
            return this.options.kind === EndpointKind.Engine
                ? readEngineHealth(answer.statusCode, text)
                : serviceHealth;
        }
        catch {
            return unknownHealth;
        }
    }
}

/** Services need no health report: any answer shows that they are up. */
const serviceHealth: EndpointHealth = { incarnation: "up", weights: undefined, adapters: [] };

function readEngineHealth(status: number, text: string): EndpointHealth {
    if (status !== 200) {
        return unknownHealth;
    }
    try {
        const { incarnation, weights, adapters } = JSON.parse(text) as Readonly<Record<string, unknown>>;
        return {
            incarnation: typeof incarnation === "string" ? incarnation : "up",
            weights: typeof weights === "string" ? weights : undefined,
            adapters: Array.isArray(adapters)
                ? adapters.filter((adapter) => typeof adapter === "string")
                : [],
        };
    }
    catch {
        return unknownHealth;
    }
}

/**
 * What a router knows of every endpoint: its registration, what its agent says, the work that routers have sent to it,
 * and how its answers have been.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type {
    DirectEndpoint,
    EndpointLoad,
    FleetState,
    KnownEndpoint,
    RelayedStatus,
    ReplicaStatus,
} from "@redwingpin/fleet";
import { HealthRecord } from "./healthRecord.js";

/** An agent's status counts before the registration for this long: one exchange may fail. */
const statusLifetime: Milliseconds = 3_500;

/** A router's report of its load counts for this long. */
const loadLifetime: Milliseconds = 2_000;

/** Prompt tokens that an engine reads in a millisecond, before any answer was seen. */
const initialTokensPerMillisecond = 25;

/** Time to the first event of a short prompt on an idle engine, before any answer was seen. */
const initialBaseLatency: Milliseconds = 25;

/** Time from one output token to the next, before any answer was seen. */
const initialPerOutputToken: Milliseconds = 25;

/** Weight of one observation in the moving averages. */
const averageWeight = 0.1;

/** Connections in a row that could not be made, after which an endpoint is taken to be lost. */
const unreachedUntilLost = 2;

/** Prompts from this size show an engine's reading speed. */
const minMeasuredTokens = 1_000;

interface Reported<T> {
    readonly value: T;
    readonly at: Milliseconds;
}

/** One endpoint. */
export class EndpointState {
    /** Requests that this router has sent and that are not over. */
    running = 0;
    /** Prompt tokens of requests that this router has sent and that have not begun to answer. */
    waitingTokens = 0;
    readonly health = new HealthRecord();
    private status: Reported<ReplicaStatus> | undefined;
    private observedWeights: Reported<{ readonly model: string; readonly version: number; }> | undefined;
    private readonly loads = new Map<string, Reported<EndpointLoad>>();
    private readonly lossListeners = new Set<() => void>();
    private unreachedInARow = 0;
    /** Set where the endpoint said itself that it is busy with an order or leaving. */
    private avoidUntil: Milliseconds = -Infinity;

    constructor(public endpoint: DirectEndpoint) {}

    /** Version of a model's weights that the endpoint is believed to serve. */
    weightsVersion(model: string, now: Milliseconds): number | undefined {
        const status = this.freshStatus(now);
        const observed = this.observedWeights?.value.model === model ? this.observedWeights : undefined;
        if (
            observed !== undefined && observed.at > (status?.at ?? -Infinity)
            && now - observed.at < statusLifetime
        ) {
            return observed.value.version;
        }
        const weights = status?.value.weights ?? this.endpoint.weights;
        return weights.find((entry) => entry.model === model)?.version;
    }

    /** True while the endpoint loads weights or is about to. */
    isLoading(now: Milliseconds): boolean {
        return this.freshStatus(now)?.value.loading ?? false;
    }

    /** When the endpoint is expected to load weights; `undefined` where that is not soon. */
    loadsAt(now: Milliseconds): Milliseconds | undefined {
        const status = this.freshStatus(now);
        return status?.value.loadsIn === undefined ? undefined : status.at + status.value.loadsIn;
    }

    /** True where the agent lately could not reach the endpoint. */
    isDown(now: Milliseconds): boolean {
        return this.freshStatus(now)?.value.weights.length === 0;
    }

    /** Requests that run or wait over all routers, as far as known. */
    totalRunning(now: Milliseconds): number {
        return this.running + this.freshLoads(now).reduce((sum, load) => sum + load.running, 0);
    }

    /** Prompt tokens that wait to be read over all routers, as far as known. */
    totalWaitingTokens(now: Milliseconds): number {
        return this.waitingTokens + this.freshLoads(now).reduce((sum, load) => sum + load.waitingTokens, 0);
    }

    isAvoided(now: Milliseconds): boolean {
        return this.avoidUntil > now;
    }

    /** Leaves the endpoint out for a while. */
    avoid(duration: Milliseconds, now: Milliseconds): void {
        this.avoidUntil = Math.max(this.avoidUntil, now + duration);
    }

    /** Takes in a status that the agent sent at `at`, unless a later one is known. */
    observeStatus(status: ReplicaStatus, at: Milliseconds): void {
        const isOwn = status.instance === undefined || status.instance === this.endpoint.instance;
        if (isOwn && !this.hasLaterStatus(status, at)) {
            this.status = { value: status, at };
            if (status.weights.length === 0) {
                this.declareLost();
            }
        }
    }

    /** The age of a relayed status leaves out the time of its transfer, so the order of one start goes by its number. */
    private hasLaterStatus(status: ReplicaStatus, at: Milliseconds): boolean {
        if (this.status === undefined) {
            return false;
        }
        const { value } = this.status;
        return value.start === status.start ? value.number > status.number : this.status.at > at;
    }

    /** Calls `listener` once the endpoint is taken to be lost; returns what stops that. */
    onLost(listener: () => void): () => void {
        this.lossListeners.add(listener);
        return () => this.lossListeners.delete(listener);
    }

    /** The endpoint runs no more: whatever it was sent gets no answer. */
    declareLost(): void {
        const listeners = [...this.lossListeners];
        this.lossListeners.clear();
        listeners.forEach((listener) => listener());
    }

    /** Notes whether a connection to the endpoint could be made. */
    observeReach(reached: boolean): void {
        this.unreachedInARow = reached ? 0 : this.unreachedInARow + 1;
        if (this.unreachedInARow >= unreachedUntilLost) {
            this.declareLost();
        }
    }

    observeWeights(model: string, version: number, now: Milliseconds): void {
        this.observedWeights = { value: { model, version }, at: now };
    }

    observeLoad(router: string, load: EndpointLoad | undefined, now: Milliseconds): void {
        if (load === undefined) {
            this.loads.delete(router);
        }
        else {
            this.loads.set(router, { value: load, at: now });
        }
    }

    /** Age of the agent's last status; infinite without one. */
    statusAge(now: Milliseconds): Milliseconds {
        return now - (this.status?.at ?? -Infinity);
    }

    /** The agent's last status and its age; `undefined` where it counts no more. */
    lastStatus(now: Milliseconds): RelayedStatus | undefined {
        const status = this.freshStatus(now);
        return status && { status: status.value, age: now - status.at };
    }

    private freshStatus(now: Milliseconds): Reported<ReplicaStatus> | undefined {
        return this.status !== undefined && now - this.status.at < statusLifetime ? this.status : undefined;
    }

    private freshLoads(now: Milliseconds): EndpointLoad[] {
        const loads: EndpointLoad[] = [];
        for (const [router, load] of this.loads) {
            if (now - load.at >= loadLifetime) {
                this.loads.delete(router);
                continue;
            }
            loads.push(load.value);
        }
        return loads;
    }
}

/** Speed of a service's endpoints, learned from answers. */
export class ServiceSpeed {
    tokensPerMillisecond = initialTokensPerMillisecond;
    baseLatency = initialBaseLatency;
    /** Time from one output token to the next. */
    perOutputToken = initialPerOutputToken;

    /** Takes in the time to the first event of a request that had no other waiting before it. */
    observe(uncachedTokens: number, latency: Milliseconds): void {
        if (uncachedTokens >= minMeasuredTokens && latency > this.baseLatency) {
            const speed = uncachedTokens / (latency - this.baseLatency);
            this.tokensPerMillisecond += averageWeight * (speed - this.tokensPerMillisecond);
        }
        else if (uncachedTokens < minMeasuredTokens) {
            const rest = latency - uncachedTokens / this.tokensPerMillisecond;
            this.baseLatency += averageWeight * (Math.max(1, rest) - this.baseLatency);
        }
    }

    /** Takes in the time from the first event to the end of a stream. */
    observeStream(outputTokens: number, duration: Milliseconds): void {
        if (outputTokens > 0) {
            this.perOutputToken += averageWeight * (duration / outputTokens - this.perOutputToken);
        }
    }
}

/** Every endpoint that a router knows. */
export class EndpointTable {
    private readonly views = new Map<string, EndpointState>();
    private readonly byService = new Map<string, EndpointState[]>();
    private readonly speeds = new Map<string, ServiceSpeed>();

    constructor(private readonly onGone: (instance: string) => void) {}

    /** Takes over the endpoints of the state. */
    update(state: FleetState): void {
        const instances = new Set<string>();
        this.byService.clear();
        for (const { endpoint } of latestAtEachAddress(state.endpoints())) {
            instances.add(endpoint.instance);
            const view = this.views.get(endpoint.instance) ?? new EndpointState(endpoint);
            view.endpoint = endpoint;
            this.views.set(endpoint.instance, view);
            this.byService.set(endpoint.service, [...this.byService.get(endpoint.service) ?? [], view]);
        }
        for (const [instance, view] of this.views) {
            if (!instances.has(instance)) {
                this.views.delete(instance);
                this.onGone(instance);
                if (!view.endpoint.leaving) {
                    view.declareLost();
                }
            }
        }
    }

    /** Endpoints of a service, leaving ones included. */
    ofService(service: string): readonly EndpointState[] {
        return this.byService.get(service) ?? [];
    }

    all(): IterableIterator<EndpointState> {
        return this.views.values();
    }

    speed(service: string): ServiceSpeed {
        const speed = this.speeds.get(service) ?? new ServiceSpeed();
        this.speeds.set(service, speed);
        return speed;
    }

    /** Takes in the status that an agent sent at `at`, by its replica's address. */
    observeStatus(status: ReplicaStatus, at: Milliseconds): void {
        for (const view of this.views.values()) {
            if (`${view.endpoint.host}:${view.endpoint.port}` === status.address) {
                view.observeStatus(status, at);
            }
        }
    }

    /** Takes in another router's load. */
    observeLoads(router: string, loads: readonly EndpointLoad[], now: Milliseconds): void {
        const byInstance = new Map(loads.map((load) => [load.instance, load]));
        for (const [instance, view] of this.views) {
            view.observeLoad(router, byInstance.get(instance), now);
        }
    }

    /** This router's own load, for peers. */
    ownLoads(): EndpointLoad[] {
        return [...this.views.values()]
            .filter((view) => view.running > 0)
            .map((view) => ({
                instance: view.endpoint.instance,
                waitingTokens: view.waitingTokens,
                running: view.running,
            }));
    }
}

/**
 * The latest registration at each address: a replica that starts again has a new instance, and the registration of the
 * one before stays until it lapses.
 */
function latestAtEachAddress(endpoints: Iterable<KnownEndpoint>): Iterable<KnownEndpoint> {
    const latest = new Map<string, KnownEndpoint>();
    for (const known of endpoints) {
        const address = `${known.endpoint.host}:${known.endpoint.port}`;
        if (known.revision > (latest.get(address)?.revision ?? -Infinity)) {
            latest.set(address, known);
        }
    }
    return latest.values();
}

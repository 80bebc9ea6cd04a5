/**
 * State of every endpoint that a router knows: its registration, its agent's status, the load that routers have put on
 * it, and its health.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import {
    type DirectEndpoint,
    type EndpointLoad,
    type FleetState,
    type KnownEndpoint,
    type RelayedStatus,
    type ReplicaStatus,
    supersedes,
} from "@redwingpin/fleet";
import { EndpointSignals, type ReportedRunning } from "@redwingpin/scheduling";
import { EndpointHealth } from "./endpointHealth.js";
import { PermitThreshold } from "./permitThreshold.js";

/** Time for which an agent's status takes precedence over the registration; one exchange may fail meanwhile. */
const statusLifetime: Milliseconds = 3_500;

/** A router's load report is ignored after this time. */
const loadLifetime: Milliseconds = 2_000;

/** Initial estimate of the prompt-processing speed, used until answers have been measured. */
const initialTokensPerMillisecond = 25;

/** Initial estimate of the time to the first event of a short prompt on an idle engine. */
const initialBaseLatency: Milliseconds = 25;

/** Initial estimate of the time per output token. */
const initialTimePerOutputToken: Milliseconds = 25;

/** Weight of one measurement in the moving averages. */
const averageWeight = 0.1;

/** An endpoint is declared lost after this many consecutive failed connection attempts. */
const connectFailuresUntilLost = 2;

/** Only prompts of at least this size are used to measure an engine's prompt-processing speed. */
const minMeasuredTokens = 1_000;

interface Reported<T> {
    readonly value: T;
    readonly at: Milliseconds;
}

/** State of one endpoint. */
export class EndpointState {
    /** Requests that this router has sent and that have not ended. */
    running = 0;
    /** Prompt tokens of the requests that this router has sent and that have no answer yet. */
    waitingTokens = 0;
    readonly health = new EndpointHealth();
    readonly signals = new EndpointSignals();
    readonly permitThreshold = new PermitThreshold();
    private status: Reported<ReplicaStatus> | undefined;
    private observedWeights: Reported<{ readonly model: string; readonly version: number; }> | undefined;
    private readonly loads = new Map<string, Reported<EndpointLoad>>();
    private readonly lossListeners = new Set<() => void>();
    private consecutiveConnectFailures = 0;
    private answeredAt: Milliseconds = -Infinity;
    /** Set after the endpoint refused a request or could not be reached. */
    private avoidedUntil: Milliseconds = -Infinity;

    constructor(public endpoint: DirectEndpoint) {}

    /** True once the endpoint's registration or one of its answers states that it leaves. */
    get isLeaving(): boolean {
        return this.endpoint.leaving || this.signals.isLeaving;
    }

    /** Last known version of a model's weights at the endpoint. */
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

    /** Time at which the endpoint is expected to load weights; `undefined` if no load is planned soon. */
    nextLoadAt(now: Milliseconds): Milliseconds | undefined {
        const status = this.freshStatus(now);
        return status?.value.loadsIn === undefined ? undefined : status.at + status.value.loadsIn;
    }

    /** Tokens of memory that no request holds, by the agent's last status; `undefined` if unknown. */
    freeMemory(now: Milliseconds): number | undefined {
        const status = this.freshStatus(now)?.value;
        return status === undefined || status.cacheTotal <= 0
            ? undefined
            : Math.max(0, status.cacheTotal - status.cacheUsed);
    }

    /** True if the agent reported that it could not reach the endpoint. */
    isDown(now: Milliseconds): boolean {
        return this.freshStatus(now)?.value.weights.length === 0;
    }

    /** Last known number of running and queued requests of all routers. */
    totalRunning(now: Milliseconds): number {
        return this.running + this.freshLoads(now).reduce((sum, load) => sum + load.running, 0);
    }

    /** Number of running and queued requests of the other routers, and the mean age of their reports. */
    reportedRunning(now: Milliseconds): ReportedRunning {
        this.freshLoads(now);
        let running = 0;
        let weightedAge = 0;
        for (const { at, value } of this.loads.values()) {
            running += value.running;
            weightedAge += value.running * (now - at);
        }
        return { running, age: running === 0 ? 0 : weightedAge / running };
    }

    /** Last known number of prompt tokens queued by all routers. */
    totalWaitingTokens(now: Milliseconds): number {
        return this.waitingTokens + this.freshLoads(now).reduce((sum, load) => sum + load.waitingTokens, 0);
    }

    isAvoided(now: Milliseconds): boolean {
        return this.avoidedUntil > now;
    }

    /** Excludes the endpoint from selection for the given time. */
    avoid(duration: Milliseconds, now: Milliseconds): void {
        this.avoidedUntil = Math.max(this.avoidedUntil, now + duration);
    }

    /** Applies a status that the agent sent at `at`, unless a later one is known. */
    observeStatus(status: ReplicaStatus, at: Milliseconds): void {
        const isOwn = status.instance === undefined || status.instance === this.endpoint.instance;
        if (isOwn && !this.hasLaterStatus(status, at)) {
            this.status = { value: status, at };
            if (status.weights.length === 0) {
                this.declareLost();
            }
        }
    }

    /**
     * The age of a relayed status does not include the time of its transfer, so statuses from one start of an agent
     * are ordered by their number.
     */
    private hasLaterStatus(status: ReplicaStatus, at: Milliseconds): boolean {
        if (this.status === undefined) {
            return false;
        }
        const { value } = this.status;
        return value.start === status.start ? value.number > status.number : this.status.at > at;
    }

    /** Calls `listener` once when the endpoint is declared lost; the returned function removes the listener. */
    onLost(listener: () => void): () => void {
        this.lossListeners.add(listener);
        return () => this.lossListeners.delete(listener);
    }

    /** Declares that the endpoint no longer runs: requests that were sent to it will not be answered. */
    declareLost(): void {
        const listeners = [...this.lossListeners];
        this.lossListeners.clear();
        listeners.forEach((listener) => listener());
    }

    /** Records whether a connection to the endpoint could be made. */
    recordConnectResult(isConnected: boolean): void {
        this.consecutiveConnectFailures = isConnected ? 0 : this.consecutiveConnectFailures + 1;
        if (this.consecutiveConnectFailures >= connectFailuresUntilLost) {
            this.declareLost();
        }
    }

    /** Records that a part of an answer has arrived from the endpoint. */
    recordAnswerPart(now: Milliseconds): void {
        this.answeredAt = now;
    }

    /** True if a part of an answer has arrived since the given time. */
    hasAnsweredSince(time: Milliseconds): boolean {
        return this.answeredAt >= time;
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

    /** Age of the agent's last status; infinite if there is none. */
    statusAge(now: Milliseconds): Milliseconds {
        return now - (this.status?.at ?? -Infinity);
    }

    /** The agent's last status and its age; `undefined` if it has expired. */
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

/** Speed of a service's endpoints, estimated from their answers. */
export class ServiceSpeed {
    tokensPerMillisecond = initialTokensPerMillisecond;
    baseLatency = initialBaseLatency;
    /** Moving average of the time from one output token to the next. */
    timePerOutputToken = initialTimePerOutputToken;

    /**
     * Applies the time to the first event of a request that had no other request queued before it. `fetchTime` is the
     * part of it that went by while cached tokens were fetched.
     */
    observe(uncachedTokens: number, latency: Milliseconds, fetchTime: Milliseconds): void {
        const processingLatency = latency - fetchTime;
        if (uncachedTokens >= minMeasuredTokens && processingLatency > this.baseLatency) {
            const speed = uncachedTokens / (processingLatency - this.baseLatency);
            this.tokensPerMillisecond += averageWeight * (speed - this.tokensPerMillisecond);
        }
        else if (uncachedTokens < minMeasuredTokens) {
            const measuredBaseLatency = processingLatency - uncachedTokens / this.tokensPerMillisecond;
            this.baseLatency += averageWeight * (Math.max(1, measuredBaseLatency) - this.baseLatency);
        }
    }

    /** Applies the time from the first event of a stream to its end. */
    observeStream(outputTokens: number, duration: Milliseconds): void {
        if (outputTokens > 0) {
            this.timePerOutputToken += averageWeight * (duration / outputTokens - this.timePerOutputToken);
        }
    }
}

/** All endpoints that a router knows. */
export class EndpointTable {
    private readonly endpointStates = new Map<string, EndpointState>();
    private readonly byService = new Map<string, EndpointState[]>();
    private readonly speeds = new Map<string, ServiceSpeed>();
    /** Endpoints that are no longer registered, and at which requests of this router may still run. */
    private readonly unregistered = new Set<EndpointState>();

    constructor(private readonly onRemoved: (instance: string) => void) {}

    /**
     * Applies the endpoints of the fleet's state. An endpoint whose registration is removed receives no new requests. It
     * may be serving on without having reported that it leaves, so its running requests continue until there is evidence
     * that it is gone.
     */
    update(state: FleetState): void {
        const instances = new Set<string>();
        const addresses = new Set<string>();
        this.byService.clear();
        for (const { endpoint } of latestAtEachAddress(state.endpoints())) {
            instances.add(endpoint.instance);
            addresses.add(addressOf(endpoint));
            this.removeEarlierStart(endpoint);
            const endpointState = this.endpointStates.get(endpoint.instance)
                ?? this.takeUnregistered(endpoint)
                ?? new EndpointState(endpoint);
            endpointState.endpoint = endpoint;
            this.endpointStates.set(endpoint.instance, endpointState);
            this.byService.set(endpoint.service, [
                ...this.byService.get(endpoint.service) ?? [],
                endpointState,
            ]);
        }
        for (const [instance, endpointState] of this.endpointStates) {
            if (!instances.has(instance)) {
                this.endpointStates.delete(instance);
                this.onRemoved(instance);
                this.unregistered.add(endpointState);
            }
        }
        for (const endpointState of this.unregistered) {
            if (addresses.has(addressOf(endpointState.endpoint))) {
                this.unregistered.delete(endpointState);
                endpointState.declareLost();
            }
        }
    }

    /** Endpoints that are no longer registered, and at which requests of this router still run. */
    runningUnregistered(): readonly EndpointState[] {
        for (const endpointState of this.unregistered) {
            if (endpointState.running === 0) {
                this.unregistered.delete(endpointState);
            }
        }
        return [...this.unregistered];
    }

    /** Returns the state of an endpoint that registers again; one of an earlier start is lost. */
    private takeUnregistered(endpoint: DirectEndpoint): EndpointState | undefined {
        const earlier = [...this.unregistered].find((state) => state.endpoint.instance === endpoint.instance);
        if (earlier === undefined) {
            return undefined;
        }
        this.unregistered.delete(earlier);
        if (isSameStart(earlier.endpoint, endpoint)) {
            return earlier;
        }
        earlier.declareLost();
        return undefined;
    }

    /** Removes the state of an endpoint that has started again under the same instance: nothing of it holds any more. */
    private removeEarlierStart(endpoint: DirectEndpoint): void {
        const { instance } = endpoint;
        const earlier = this.endpointStates.get(instance);
        if (earlier !== undefined && !isSameStart(earlier.endpoint, endpoint)) {
            this.endpointStates.delete(instance);
            this.onRemoved(instance);
            earlier.declareLost();
        }
    }

    /** Endpoints of a service, including those that are leaving. */
    ofService(service: string): readonly EndpointState[] {
        return this.byService.get(service) ?? [];
    }

    all(): IterableIterator<EndpointState> {
        return this.endpointStates.values();
    }

    speed(service: string): ServiceSpeed {
        const speed = this.speeds.get(service) ?? new ServiceSpeed();
        this.speeds.set(service, speed);
        return speed;
    }

    /** Applies a status that an agent sent at `at` to the replica at the status's address. */
    observeStatus(status: ReplicaStatus, at: Milliseconds): void {
        for (const endpointState of [...this.endpointStates.values(), ...this.unregistered]) {
            if (addressOf(endpointState.endpoint) === status.address) {
                endpointState.observeStatus(status, at);
            }
        }
    }

    /** Applies another router's load report. */
    observeLoads(router: string, loads: readonly EndpointLoad[], now: Milliseconds): void {
        const byInstance = new Map(loads.map((load) => [load.instance, load]));
        for (const [instance, endpointState] of this.endpointStates) {
            endpointState.observeLoad(router, byInstance.get(instance), now);
        }
    }

    /** This router's own load, for its peers. */
    ownLoads(): EndpointLoad[] {
        return [...this.endpointStates.values()]
            .filter((endpointState) => endpointState.running > 0)
            .map((endpointState) => ({
                instance: endpointState.endpoint.instance,
                waitingTokens: endpointState.waitingTokens,
                running: endpointState.running,
            }));
    }
}

/**
 * The registration of the latest start at each address. A restarted replica has a new instance, while the registration of
 * the previous instance remains until it expires.
 */
function latestAtEachAddress(endpoints: Iterable<KnownEndpoint>): Iterable<KnownEndpoint> {
    const latest = new Map<string, KnownEndpoint>();
    for (const known of endpoints) {
        const address = addressOf(known.endpoint);
        const other = latest.get(address);
        if (other === undefined || supersedes(known, other)) {
            latest.set(address, known);
        }
    }
    return latest.values();
}

function addressOf({ host, port }: DirectEndpoint): string {
    return `${host}:${port}`;
}

/** False if both state their start, and it is not the same one. */
function isSameStart(earlier: DirectEndpoint, later: DirectEndpoint): boolean {
    return earlier.startedAt === undefined || later.startedAt === undefined
        || earlier.startedAt === later.startedAt;
}

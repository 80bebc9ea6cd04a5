/**
 * State of one endpoint: its registration, its agent's status, the load that routers have put on it, and its health.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { DirectEndpoint, EndpointLoad, RelayedStatus, ReplicaStatus } from "@redwingpin/fleet";
import { EndpointEstimate, type SlownessReport } from "@redwingpin/placement";
import {
    EndpointMemory,
    EndpointSignals,
    type MemoryPrediction,
    type OwedAnswer,
    type OwedAnswerOptions,
    type ReportedRunning,
    ResponseMonitor,
} from "@redwingpin/scheduling";
import { EndpointHealth } from "./endpointHealth.js";
import { PermitThreshold } from "./permitThreshold.js";
import { ServiceSpeed } from "./serviceSpeed.js";
import { type MeasuredStream, StreamPace } from "./streamPace.js";

/** Time for which an agent's status takes precedence over the registration; one exchange may fail meanwhile. */
const statusLifetime: Milliseconds = 3_500;

/** A router's load report is ignored after this time. */
const loadLifetime: Milliseconds = 2_000;

/** An endpoint is declared lost after this many consecutive failed connection attempts. */
const connectFailuresUntilLost = 2;

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
    readonly responses = new ResponseMonitor();
    readonly estimate = new EndpointEstimate();
    private readonly streamPace = new StreamPace();
    private readonly memory = new EndpointMemory();
    private status: Reported<ReplicaStatus> | undefined;
    private observedWeights: Reported<{ readonly model: string; readonly version: number; }> | undefined;
    private readonly loads = new Map<string, Reported<EndpointLoad>>();
    /** Sums over `loads`, which every choice of an endpoint needs. */
    private reportedRequests = 0;
    private reportedTokens = 0;
    /** When the oldest of `loads` may expire. */
    private loadsExpireAt: Milliseconds = Infinity;
    private readonly lossListeners = new Set<() => void>();
    private consecutiveConnectFailures = 0;
    private answeredAt: Milliseconds = -Infinity;
    /** Set after the endpoint refused a request or could not be reached. */
    private avoidedUntil: Milliseconds = -Infinity;

    constructor(public endpoint: DirectEndpoint, private readonly speed = new ServiceSpeed()) {}

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

    /** Registers a stream whose first event has arrived, to measure its pace; the returned function ends it. */
    openStream(stream: MeasuredStream, now: Milliseconds): (endedAt: Milliseconds) => void {
        return this.streamPace.open(stream, now);
    }

    /** Applies the time to a request's first event or whole answer; `predicted` is that of any endpoint of the service. */
    observeAnswerTime(
        route: string,
        measured: Milliseconds,
        predicted: Milliseconds,
        now: Milliseconds,
    ): void {
        this.estimate.observe("answer", this.speed.answerNorm(route).observe(measured, predicted), now);
    }

    /** Measures the pace of the running streams, and computes the estimate anew. */
    updateEstimate(now: Milliseconds): void {
        for (const time of this.streamPace.measure(now)) {
            const { eventNorm, eventTime } = this.speed;
            const running = this.totalRunning(now);
            const predicted = eventTime.predict(running);
            if (predicted !== undefined) {
                this.estimate.observe("event", eventNorm.observe(time, predicted), now);
            }
            eventTime.observe(running, time);
        }
        this.estimate.update(now);
    }

    /** Predicts whether a request that will hold `tokens` of memory fits into the endpoint, or when it will. */
    predictMemory(tokens: number, othersRunning: number, now: Milliseconds): MemoryPrediction {
        const status = this.freshStatus(now);
        return this.memory.predict({
            tokens,
            now,
            report: status && { ...status.value, at: status.at },
            othersRunning,
            slots: Math.max(1, this.endpoint.slots),
            service: this.speed.memory,
        });
    }

    /** Registers a request that is sent to the endpoint now and will hold `tokens` of memory. */
    openMemory(tokens: number, now: Milliseconds): (endedAt: Milliseconds, hasRun: boolean) => void {
        const end = this.memory.open(tokens, now);
        return (endedAt, hasRun) => {
            end(endedAt);
            if (hasRun) {
                this.speed.memory.observe(tokens, endedAt - now);
            }
        };
    }

    /** True if the agent reported that it could not reach the endpoint. */
    isDown(now: Milliseconds): boolean {
        return this.freshStatus(now)?.value.weights.length === 0;
    }

    /** Last known number of running and queued requests of all routers. */
    totalRunning(now: Milliseconds): number {
        this.removeExpiredLoads(now);
        return this.running + this.reportedRequests;
    }

    /** Number of running and queued requests of the other routers, and the mean age of their reports. */
    reportedRunning(now: Milliseconds): ReportedRunning {
        this.removeExpiredLoads(now);
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
        this.removeExpiredLoads(now);
        return this.waitingTokens + this.reportedTokens;
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
            this.speed.memory.observeReport(status);
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
        this.responses.recordPart(now, this.speed.pace);
    }

    /** Registers a request that is sent to the endpoint now, to detect that its answer is overdue. */
    openAnswer(options: OwedAnswerOptions): OwedAnswer {
        return this.responses.open(options, this.speed.pace);
    }

    /** True if a part of an answer has arrived since the given time. */
    hasAnsweredSince(time: Milliseconds): boolean {
        return this.answeredAt >= time;
    }

    observeWeights(model: string, version: number, now: Milliseconds): void {
        this.observedWeights = { value: { model, version }, at: now };
    }

    observeLoad(router: string, load: EndpointLoad | undefined, now: Milliseconds): void {
        if (load !== undefined) {
            this.responses.observePeer(load, now);
        }
        this.estimate.observePeer(router, slownessOf(load), now);
        this.removeLoad(router);
        if (load !== undefined) {
            this.loads.set(router, { value: load, at: now });
            this.reportedRequests += load.running;
            this.reportedTokens += load.waitingTokens;
            this.loadsExpireAt = Math.min(this.loadsExpireAt, now + loadLifetime);
        }
    }

    private removeLoad(router: string): void {
        const load = this.loads.get(router)?.value;
        if (load !== undefined) {
            this.loads.delete(router);
            this.reportedRequests -= load.running;
            this.reportedTokens -= load.waitingTokens;
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

    private removeExpiredLoads(now: Milliseconds): void {
        if (now < this.loadsExpireAt) {
            return;
        }
        this.loadsExpireAt = Infinity;
        for (const [router, { at }] of this.loads) {
            if (now - at >= loadLifetime) {
                this.removeLoad(router);
            }
            else {
                this.loadsExpireAt = Math.min(this.loadsExpireAt, at + loadLifetime);
            }
        }
    }
}

function slownessOf(load: EndpointLoad | undefined): SlownessReport | undefined {
    return load?.slowness === undefined || load.evidence === undefined
        ? undefined
        : { slowness: load.slowness, evidence: load.evidence };
}

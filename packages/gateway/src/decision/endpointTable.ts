/**
 * All endpoints that a router knows, by service.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import {
    type DirectEndpoint,
    type EndpointLoad,
    type FleetState,
    type KnownEndpoint,
    type ReplicaStatus,
} from "@redwingpin/fleet";
import { AddressClaims, type AddressOwner } from "./addressClaims.js";
import { EndpointState } from "./endpointState.js";
import { ServiceSpeed } from "./serviceSpeed.js";

export { EndpointState, ServiceSpeed };

/** Unresponsive endpoints are left out of the choice up to this share of a service. */
const maxSilentShare = 0.5;

/** Responses are checked several times in this interval. */
const maxCheckInterval: Milliseconds = 450;

/** Interval of the trials of all routers together at one unresponsive endpoint. */
const fleetTrialInterval: Milliseconds = 2_000;

const minTrialInterval: Milliseconds = 1_000;
const maxTrialInterval: Milliseconds = 60_000;

/** Trials of one router are from half to one and a half intervals apart, so that those of all routers are spread. */
const trialJitter = 0.5;

/** All endpoints that a router knows. */
export class EndpointTable {
    private readonly endpointStates = new Map<string, EndpointState>();
    private readonly byService = new Map<string, EndpointState[]>();
    private readonly speeds = new Map<string, ServiceSpeed>();
    /** Endpoints that are no longer registered, and at which requests of this router may still run. */
    private readonly unregistered = new Set<EndpointState>();
    private readonly claims = new AddressClaims();
    /** The state that was applied last. */
    private fleetState: FleetState | undefined;
    private checkedAt: Milliseconds = -Infinity;
    private countSilenceFrom: Milliseconds = -Infinity;

    constructor(private readonly onRemoved: (instance: string) => void) {}

    /**
     * Applies the endpoints of the fleet's state. An endpoint whose registration is removed receives no new requests. It
     * may be serving on without having reported that it leaves, so its running requests continue until there is evidence
     * that it is gone.
     */
    update(state: FleetState): void {
        this.fleetState = state;
        const instances = new Set<string>();
        const owners = this.selectAtEachAddress(state.endpoints());
        this.byService.clear();
        for (const { known } of owners.values()) {
            if (known === undefined) {
                continue;
            }
            const { endpoint } = known;
            instances.add(endpoint.instance);
            this.removeEarlierStart(endpoint);
            const endpointState = this.endpointStates.get(endpoint.instance)
                ?? this.takeUnregistered(endpoint)
                ?? new EndpointState(endpoint, this.speed(endpoint.service));
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
            const { endpoint } = endpointState;
            const stated = owners.get(addressOf(endpoint))?.statedInstance;
            if (stated !== undefined && stated !== endpoint.instance) {
                this.unregistered.delete(endpointState);
                endpointState.declareLost();
            }
        }
    }

    /** Selects the registration to use at each address. */
    private selectAtEachAddress(endpoints: Iterable<KnownEndpoint>): Map<string, AddressOwner> {
        const registered = new Map<string, KnownEndpoint[]>();
        const instances = new Set<string>();
        for (const known of endpoints) {
            const address = addressOf(known.endpoint);
            instances.add(known.endpoint.instance);
            const others = registered.get(address);
            if (others === undefined) {
                registered.set(address, [known]);
            }
            else {
                others.push(known);
            }
        }
        const current = new Map<string, DirectEndpoint[]>();
        for (const { endpoint, running } of [...this.endpointStates.values(), ...this.unregistered]) {
            if (running > 0 || instances.has(endpoint.instance)) {
                const address = addressOf(endpoint);
                current.set(address, [...current.get(address) ?? [], endpoint]);
            }
        }
        this.claims.retain(registered);
        return new Map(
            [...registered].map(([address, candidates]) =>
                [address, this.claims.select(address, candidates, current.get(address) ?? [])] as const
            ),
        );
    }

    /**
     * Applies the instance that the endpoint at `host:port` states. Returns whether that was unknown and several
     * endpoints may be there. Other endpoints at the address are lost.
     */
    recordIdentity(address: string, instance: string): boolean {
        const isNew = this.claims.recordIdentity(address, instance);
        if (isNew && this.fleetState !== undefined) {
            this.update(this.fleetState);
        }
        return isNew;
    }

    /** Addresses at which it is uncertain who is there, and the endpoints that may be. */
    contestedAddresses(): ReadonlyMap<string, readonly DirectEndpoint[]> {
        return this.claims.unsettled();
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

    /** Measures the pace of the running streams, and computes the estimates of the endpoints anew. */
    updateEstimates(now: Milliseconds): void {
        for (const endpointState of this.endpointStates.values()) {
            endpointState.updateEstimate(now);
        }
    }

    /**
     * Finds endpoints whose answers are overdue, and notifies the requests concerned. Returns the endpoints that were not
     * known as unresponsive. Does nothing for a service of which most endpoints are silent: then the cause is more likely
     * at the router or its network. `routers` is the number of live routers.
     */
    checkResponses(now: Milliseconds, routers: number, random: () => number): EndpointState[] {
        if (now - this.checkedAt > maxCheckInterval) {
            // The process itself did not run, so answers may have arrived and not been read.
            this.countSilenceFrom = now;
        }
        this.checkedAt = now;
        return [...this.byService].flatMap(([service, endpointStates]) => {
            const { pace } = this.speed(service);
            const overdue = endpointStates.filter(({ responses }) =>
                responses.isOverdue(now, pace, this.countSilenceFrom)
            );
            if (overdue.length === 0) {
                return [];
            }
            const silent = endpointStates.filter((endpointState) =>
                endpointState.responses.isSilent || overdue.includes(endpointState)
            );
            if (silent.length > Math.floor(endpointStates.length * maxSilentShare)) {
                return [];
            }
            const newlySilent = overdue.filter(({ responses }) => !responses.isSilent);
            newlySilent.forEach(({ responses }) =>
                responses.declareSilent(now, trialIntervalFor(routers) * (trialJitter + random()))
            );
            overdue.forEach(({ responses }) => responses.notifyOverdue(now, pace, this.countSilenceFrom));
            return newlySilent;
        });
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
    ownLoads(now: Milliseconds): EndpointLoad[] {
        return [...this.endpointStates.values()].flatMap(
            ({ endpoint, estimate, responses, running, waitingTokens }) => {
                const slowness = estimate.report(now);
                const observation = responses.report(now);
                // Also without requests: a router that got answers contradicts one that takes the endpoint for unresponsive.
                return running > 0 || slowness !== undefined || Object.keys(observation).length > 0
                    ? {
                        instance: endpoint.instance,
                        waitingTokens,
                        running,
                        ...observation,
                        ...slowness,
                    }
                    : [];
            },
        );
    }
}

/** `host:port` of an endpoint. */
export function addressOf({ host, port }: DirectEndpoint): string {
    return `${host}:${port}`;
}

/** Interval at which one router sends a request to an unresponsive endpoint, to detect its recovery. */
function trialIntervalFor(routers: number): Milliseconds {
    return Math.min(maxTrialInterval, Math.max(minTrialInterval, routers * fleetTrialInterval));
}

/** False if both state their start, and it is not the same one. */
function isSameStart(earlier: DirectEndpoint, later: DirectEndpoint): boolean {
    return earlier.startedAt === undefined || later.startedAt === undefined
        || earlier.startedAt === later.startedAt;
}

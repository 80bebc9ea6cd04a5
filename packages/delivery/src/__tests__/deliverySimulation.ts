import {
    FakeClock,
    type Milliseconds,
    type RandomSource,
    seededRandom,
    silentLogger,
} from "@redwingpin/common";
import {
    type DirectEndpoint,
    eraOf,
    FactKind,
    FleetState,
    storePosition,
    VersionPhase,
    VersionState,
} from "@redwingpin/fleet";
import { VersionDelivery, type VersionedEndpoint } from "../index.js";
import { type Disturbances, orderRevision, SimulatedStatusStore } from "./simulatedStatusStore.js";

/** How the new version behaves. */
export enum VersionKind {
    Good = "good",
    Failing = "failing",
    Slow = "slow",
    /** Fails from a third of the time limit on. */
    FailingLater = "failingLater",
    /** Fails while an endpoint has more than a third of its slots in use. */
    FailingUnderLoad = "failingUnderLoad",
    /** Fails on one route of four. */
    FailingOnRoute = "failingOnRoute",
}

export interface SimulationOptions {
    readonly seed: number;
    readonly routers: number;
    readonly requestsPerSecond: number;
    readonly duration: Milliseconds;
    readonly kind: VersionKind;
    readonly disturbances?: Disturbances;
}

export interface SimulationResult {
    /** State in the store at the time limit. */
    readonly state: VersionState | undefined;
    readonly decidedAt: Milliseconds | undefined;
    readonly requests: number;
    readonly exposed: number;
    readonly limit: number;
    /** Bad responses of the new version. */
    readonly bad: number;
    /** Time from the 50th bad response to the last request that the version got; `undefined` without a 50th. */
    readonly afterRollback: Milliseconds | undefined;
    /** Requests that ran on old replicas when the store had the completion. */
    readonly runningOld: number;
    readonly reason: string | undefined;
}

const service = "drafting";
const to = "v2";
const step: Milliseconds = 25;
const slots = 12;
const bounds = { share: 0.1, slack: 50, rollback: 5_000 };

interface Router {
    readonly name: string;
    readonly incarnation: string;
    readonly state: FleetState;
    readonly delivery: VersionDelivery;
    pausedUntil: Milliseconds;
    partitionedUntil: Milliseconds;
    partitionedSince: Milliseconds;
}

interface SimulatedEndpoint extends VersionedEndpoint {
    running: number;
}

/** Plays one order to its time limit and a second beyond. */
export async function simulateRollout(options: SimulationOptions): Promise<SimulationResult> {
    return new Simulation(options).run();
}

class Simulation {
    private readonly clock = new FakeClock(1_000_000);
    private readonly random: RandomSource;
    private readonly store: SimulatedStatusStore;
    private readonly disturbances: Disturbances;
    private readonly startedAt: Milliseconds;
    private readonly endpoints: readonly SimulatedEndpoint[];
    private routers: Router[] = [];
    private readonly live = new Map<
        string,
        { readonly names: readonly string[]; readonly at: Milliseconds; }
    >();
    /** What happens in later steps, by the number of the step. */
    private readonly queue = new Map<number, (() => void)[]>();
    private requests = 0;
    private exposed = 0;
    private bad = 0;
    private rollbackDueFrom: Milliseconds | undefined;
    private lastExposedAt: Milliseconds = -Infinity;
    private runningOld: number | undefined;
    private decidedAt: Milliseconds | undefined;

    constructor(private readonly options: SimulationOptions) {
        this.random = seededRandom(options.seed);
        this.disturbances = options.disturbances ?? {};
        this.store = new SimulatedStatusStore(this.clock, this.random, this.disturbances, step);
        this.startedAt = this.clock.now();
        const perSide = Math.max(2, Math.ceil(options.requestsPerSecond / 12));
        this.endpoints = ["v1", to].flatMap((version) =>
            Array.from({ length: perSide }, (_, index) => ({
                endpoint: { instance: `${version}-${index}`, service, version, slots } as DirectEndpoint,
                running: 0,
            }))
        );
        this.routers = Array.from(
            { length: options.routers },
            (_, index) => this.startRouter(`router-${index}`),
        );
        this.clock.schedule(20, () => this.deliverOrder(0));
    }

    async run(): Promise<SimulationResult> {
        const { duration, requestsPerSecond } = this.options;
        const events = this.planDisturbances();
        let due = 0;
        for (let time = 0; time < duration; time += step) {
            this.store.keepCopy();
            events.filter((event) => event.at >= time && event.at < time + step).forEach((event) =>
                event.run()
            );
            for (due += requestsPerSecond * step / 1_000; due >= 1; due -= 1) {
                this.sendRequest();
            }
            this.routers.forEach((router, index) => this.stepRouter(router, index, time));
            this.clock.advance(step);
            this.runDue();
            await settle();
            this.recordDecision();
        }
        const { state } = this.store.stored.status ?? {};
        const decided = this.routers[0].state.versionRollouts.of(service);
        return {
            state,
            decidedAt: this.decidedAt,
            requests: this.requests,
            exposed: this.exposed,
            bad: this.bad,
            limit: bounds.share * this.requests + bounds.slack,
            afterRollback: this.rollbackDueFrom && this.lastExposedAt - this.rollbackDueFrom,
            runningOld: this.runningOld ?? 0,
            reason: decided?.reason,
        };
    }

    private schedule(delay: Milliseconds, run: () => void): void {
        const index = Math.ceil((this.clock.now() + delay) / step);
        const waiting = this.queue.get(index) ?? [];
        waiting.push(run);
        this.queue.set(index, waiting);
    }

    private runDue(): void {
        const index = Math.floor(this.clock.now() / step);
        const due = this.queue.get(index) ?? [];
        this.queue.delete(index);
        due.forEach((run) => run());
    }

    private recordDecision(): void {
        const state = this.store.stored.status?.state;
        if (state === undefined || state === VersionState.Running || this.decidedAt !== undefined) {
            return;
        }
        this.decidedAt = this.clock.now() - this.startedAt;
        if (state === VersionState.Completed) {
            this.runningOld = this.endpoints.filter(({ endpoint }) => endpoint.version !== to)
                .reduce((total, { running }) => total + running, 0);
        }
    }

    private startRouter(name: string): Router {
        const state = new FleetState();
        const incarnation = `${name} from ${this.clock.now()}`;
        const router: Router = {
            name,
            incarnation,
            state,
            pausedUntil: -Infinity,
            partitionedUntil: -Infinity,
            partitionedSince: -Infinity,
            delivery: new VersionDelivery({
                clock: this.clock,
                random: this.random,
                logger: silentLogger,
                ownName: name,
                incarnation,
                bounds: () => bounds,
                rollouts: state.versionRollouts,
                store: this.store,
                liveRouterNames: () => this.liveNames(router),
                slots: () => ({
                    newSlots: this.endpoints.length / 2 * slots,
                    oldSlots: this.endpoints.length / 2 * slots,
                }),
                announce: (news) => {
                    state.applyFact({ kind: FactKind.VersionRollout, ...news }, this.clock.now());
                    this.routers.forEach((peer) =>
                        void (peer !== router && this.random.unit() < 4
                                    / this.routers.length
                            && this.exchange(router, peer))
                    );
                },
                deliverReports: (names) =>
                    this.routers.filter((peer) => names.includes(peer.name))
                        .forEach((peer) => this.exchange(router, peer)),
            }),
        };
        return router;
    }

    private liveNames(router: Router): readonly string[] {
        const now = this.clock.now();
        const known = this.live.get(router.name);
        if (known !== undefined && now - known.at < 300) {
            return known.names;
        }
        const names = this.findLiveNames(router);
        this.live.set(router.name, { names, at: now });
        return names;
    }

    /** Routers that were reachable within the last two seconds. */
    private findLiveNames(router: Router): readonly string[] {
        const now = this.clock.now();
        const isCut = (candidate: Router) =>
            now < candidate.partitionedUntil && now - candidate.partitionedSince > 2_000;
        return this.routers.filter((peer) => peer === router || !(isCut(peer) || isCut(router)))
            .map((peer) => peer.name);
    }

    private deliverOrder(age: Milliseconds | undefined, routers = this.routers): void {
        const revision = storePosition(this.store.era, orderRevision);
        for (const { state } of routers) {
            const known = state.versionRollouts.of(service);
            const isSame = known !== undefined && eraOf(known.revision) <= this.store.era;
            state.applyFact({
                kind: FactKind.VersionRollout,
                service,
                to,
                duration: this.options.duration,
                revision,
                age: isSame ? undefined : age,
                phase: isSame || age === undefined ? VersionPhase.Unknown : VersionPhase.Canary,
                isStored: false,
            }, this.clock.now());
        }
    }

    private planDisturbances(): { at: Milliseconds; run: () => void; }[] {
        const { pauses = 0, partitions = 0, restarts = 0, restored, storeOutage = 0 } = this.disturbances;
        const { duration, routers } = this.options;
        const anyTime = () => 200 + this.random.unit() * duration * 0.8;
        const some = (share: number, run: (index: number) => void) =>
            Array.from({ length: routers }, (_, index) => index)
                .filter(() => this.random.unit() < share)
                .map((index) => ({ at: anyTime(), run: () => run(index) }));
        return [
            ...some(restarts, (index) => {
                this.routers[index] = this.startRouter(this.routers[index].name);
                this.deliverOrder(undefined, [this.routers[index]]);
            }),
            ...some(pauses, (index) => {
                this.routers[index].pausedUntil = this.clock.now() + 1_000 + this.random.unit() * 2_000;
            }),
            ...some(partitions, (index) => {
                this.routers[index].partitionedSince = this.clock.now();
                this.routers[index].partitionedUntil = this.clock.now() + 1_000 + this.random.unit() * 3_000;
            }),
            ...storeOutage > 0
                ? [{
                    at: anyTime(),
                    run: () => this.store.unavailableUntil = this.clock.now() + storeOutage * duration,
                }]
                : [],
            ...restored
                ? [{
                    at: anyTime(),
                    run: () => {
                        this.store.restore();
                        this.clock.schedule(200, () => this.deliverOrder(undefined));
                    },
                }]
                : [],
        ];
    }

    private stepRouter(router: Router, index: number, time: Milliseconds): void {
        if (this.clock.now() < router.pausedUntil) {
            return;
        }
        if ((time / step + index) % 6 === 0) {
            router.delivery.run();
        }
        const peer = this.routers[this.random.integerBelow(this.routers.length)];
        if (peer !== router) {
            this.exchange(router, peer);
        }
    }

    private exchange(from: Router, peer: Router): void {
        const now = this.clock.now();
        const isCut = (router: Router) => now < router.partitionedUntil;
        const { loss = 0 } = this.disturbances;
        if (isCut(from) || isCut(peer) || this.random.unit() < loss) {
            return;
        }
        const news = from.state.versionRollouts.news(now);
        const reports = from.delivery.reportsFor(peer.name) ?? [];
        const mark = from.state.watermark();
        const { incarnation } = from;
        const deliver = () => {
            if (this.clock.now() < peer.pausedUntil) {
                return;
            }
            if (mark.rollouts !== peer.state.watermark().rollouts) {
                news.forEach((entry) =>
                    peer.state.applyFact({ kind: FactKind.VersionRollout, ...entry }, this.clock.now())
                );
            }
            peer.delivery.observe(incarnation, reports);
        };
        const delay = this.random.unit() < loss ? 1_000 : 5 + this.random.unit() * 40;
        this.schedule(delay, deliver);
        if (this.random.unit() < loss) {
            this.schedule(delay + 700, deliver);
        }
    }

    private sendRequest(): void {
        const router = this.routers[this.random.integerBelow(this.routers.length)];
        const now = this.clock.now();
        if (now < router.pausedUntil) {
            return;
        }
        this.requests += 1;
        const versions = router.delivery.open(service);
        const route = `route-${this.random.integerBelow(4)}`;
        const isFull = (endpoint: SimulatedEndpoint) => endpoint.running >= slots;
        const groups = versions?.groups(this.endpoints, now, isFull)
            ?? [this.endpoints.filter(({ endpoint }) => endpoint.version !== to)];
        const candidates = groups.find((group) => group.length > 0) ?? [];
        const first = this.random.integerBelow(candidates.length);
        const second = this.random.integerBelow(candidates.length);
        const selected = candidates[first].running <= candidates[second].running
            ? candidates[first]
            : candidates[second];
        const end = versions?.start(route, selected, now);
        const isNew = selected.endpoint.version === to;
        if (isNew) {
            this.exposed += 1;
            this.lastExposedAt = now;
        }
        selected.running += 1;
        // One request of twenty takes several times as long as the others.
        const usual = (100 + this.random.unit() * 300) * (this.random.unit() < 0.05 ? 5 : 1);
        const { isFailure, factor } = this.behavior(isNew, selected, route);
        const isOrdinaryFailure = this.random.unit() < 0.005;
        this.schedule(isFailure ? 60 : usual * factor, () => {
            selected.running -= 1;
            if (isFailure || factor > 1) {
                this.bad += 1;
                if (this.bad === 50) {
                    this.rollbackDueFrom = this.clock.now();
                }
            }
            end?.(
                isFailure || isOrdinaryFailure
                    ? { kind: "failed" }
                    : { kind: "answered", ratio: usual * factor / 250 },
                this.clock.now(),
            );
        });
    }

    private behavior(
        isNew: boolean,
        { running }: SimulatedEndpoint,
        route: string,
    ): { isFailure: boolean; factor: number; } {
        const elapsed = this.clock.now() - this.startedAt;
        const draw = this.random.unit();
        const good = { isFailure: false, factor: 1 };
        if (!isNew) {
            return good;
        }
        switch (this.options.kind) {
            case VersionKind.Good:
                return good;
            case VersionKind.Failing:
                return { ...good, isFailure: draw < 0.3 };
            case VersionKind.Slow:
                return { ...good, factor: draw < 0.5 ? 5 : 1 };
            case VersionKind.FailingLater:
                return { ...good, isFailure: elapsed > this.options.duration / 3 && draw < 0.4 };
            case VersionKind.FailingUnderLoad:
                return { ...good, isFailure: running > slots / 6 && draw < 0.6 };
            case VersionKind.FailingOnRoute:
                return { ...good, isFailure: route === "route-0" && draw < 0.7 };
        }
    }
}

/** Runs the continuations of promises that have been resolved. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 6; turn++) {
        await Promise.resolve();
    }
}

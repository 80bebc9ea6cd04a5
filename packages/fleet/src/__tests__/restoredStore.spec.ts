import { type RandomSource, seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { FactKind, type FleetFact, FleetState, storePosition } from "../index.js";
import { configurationFixture, endpointFact, endpointFixture, weightsFact } from "./fleetFixture.js";

/** A registration as an endpoint writes it. */
interface Registration {
    readonly startedAt: number;
    readonly leaving: boolean;
}

interface StoredItem {
    readonly value: Registration | undefined;
    readonly revision: number;
}

interface StoreState {
    readonly items: ReadonlyMap<string, StoredItem>;
    readonly revision: number;
    readonly configuration: number;
}

/** A store of registrations and one configuration that can lose what was written after a copy. */
class SimulatedStore {
    era = 1;
    private revision = 1;
    private items = new Map<string, StoredItem>();
    configuration = 1;

    copy(): StoreState {
        return { items: new Map(this.items), revision: this.revision, configuration: this.configuration };
    }

    restore({ configuration, items, revision }: StoreState): void {
        this.items = new Map(items);
        this.revision = revision;
        this.configuration = configuration;
        this.era += 1;
    }

    write(instance: string, value: Registration | undefined): void {
        this.revision += 1;
        this.items.set(instance, { value, revision: this.revision });
    }

    read(instance: string): Registration | undefined {
        return this.items.get(instance)?.value;
    }

    get position(): number {
        return storePosition(this.era, this.revision);
    }

    /** Facts of all registrations, or of the changes after a revision of this era. */
    facts(after?: number): FleetFact[] {
        return [...this.items]
            .filter(([, { revision, value }]) =>
                after === undefined ? value !== undefined : storePosition(this.era, revision) > after
            )
            .map(([instance, { revision, value }]) => {
                const endpoint = value && endpointFixture(instance, value);
                return endpointFact(instance, storePosition(this.era, revision), endpoint);
            });
    }

    instances(): string[] {
        return [...this.items].filter(([, { value }]) => value !== undefined).map(([instance]) => instance);
    }
}

type EndpointFact = FleetFact & { readonly kind: FactKind.Endpoint; };

/** A process that reads the store, or hears of it from the others only. */
class SimulatedProcess {
    readonly state = new FleetState();
    private position: number | undefined;
    private era = 0;
    /** Starts of endpoints that this process has known as leaving or removed. */
    private readonly left = new Set<string>();
    highestConfiguration = 0;

    /** `departures` are the instances and positions of removals that endpoints wrote, rather than that the store lost. */
    constructor(private readonly departures: ReadonlySet<string>) {}

    poll(store: SimulatedStore): void {
        const facts = this.position !== undefined && this.era === store.era
            ? store.facts(this.position)
            : this.snapshot(store);
        this.position = store.position;
        this.era = store.era;
        this.apply(facts);
        this.apply([{
            kind: FactKind.Configuration,
            revision: store.position,
            configuration: configurationFixture(store.configuration),
        }]);
        this.state.recordEndpointsRevision(store.position);
    }

    exchange(other: SimulatedProcess): void {
        const facts = other.state.factsSince(this.state.watermark(), 0);
        const { endpoints } = other.state.watermark();
        this.apply([...facts, ...other.state.configurationSince(this.state.watermark().configuration)]);
        this.state.recordEndpointsRevision(endpoints);
    }

    private snapshot(store: SimulatedStore): FleetFact[] {
        const instances = store.instances();
        return [{ kind: FactKind.Listing, revision: store.position, instances }, ...store.facts()];
    }

    private apply(facts: readonly FleetFact[]): void {
        const starts = new Map(
            [...this.state.endpoints()].map(({ endpoint }) => [endpoint.instance, endpoint.startedAt]),
        );
        const { newFacts } = this.state.applyFacts(facts, 0);
        for (const fact of new Set([...facts, ...newFacts])) {
            if (fact.kind === FactKind.Endpoint) {
                this.check(fact, starts.get(fact.instance));
            }
        }
        const version = this.state.configuration?.version ?? 0;
        expect(version, "version of the configuration").to.be.at.least(this.highestConfiguration);
        this.highestConfiguration = version;
    }

    /** An endpoint that was known to have left is not in use again before it has started again. */
    private check({ endpoint, instance, revision }: EndpointFact, startBefore: number | undefined): void {
        const isDeparture = endpoint?.leaving ?? this.departures.has(`${instance} ${revision}`);
        if (isDeparture) {
            this.left.add(`${instance} ${endpoint?.startedAt ?? startBefore}`);
        }
        const known = this.state.endpoint(instance);
        if (known !== undefined && !known.endpoint.leaving) {
            const start = `${instance} ${known.endpoint.startedAt}`;
            expect(this.left.has(start), `${start} is in use after it left`).to.equal(false);
        }
    }

    /** The endpoints in use, with the time of their start. */
    inUse(): string[] {
        return [...this.state.endpoints()].filter(({ endpoint }) => !endpoint.leaving)
            .map(({ endpoint }) => `${endpoint.instance} ${endpoint.startedAt}`).sort();
    }
}

/** Registers, restarts or takes away one endpoint at random. */
function changeOne(
    endpoints: Map<string, Registration>,
    random: RandomSource,
    time: number,
    write: (instance: string, value: Registration | undefined) => void,
): void {
    const instance = `i-${random.integerBelow(8)}`;
    const current = endpoints.get(instance);
    if (current === undefined || random.unit() < 0.1) {
        const started = { startedAt: time, leaving: false };
        endpoints.set(instance, started);
        write(instance, started);
    }
    else if (!current.leaving) {
        const leaving = { ...current, leaving: true };
        endpoints.set(instance, leaving);
        write(instance, leaving);
    }
    else {
        endpoints.delete(instance);
        write(instance, undefined);
    }
}

/** Plays a history with two restorations; returns the endpoints that serve, and what each process takes for these. */
function play(seed: number): { readonly serving: string[]; readonly known: string[][]; } {
    const random = seededRandom(seed);
    const store = new SimulatedStore();
    const endpoints = new Map<string, Registration>();
    const departures = new Set<string>();
    const processes = Array.from({ length: 4 }, () => new SimulatedProcess(departures));
    const write = (instance: string, value: Registration | undefined) => {
        store.write(instance, value);
        if (value === undefined) {
            departures.add(`${instance} ${store.position}`);
        }
    };
    const work = (steps: number, time: number) => {
        for (let step = 0; step < steps; step++) {
            if (random.unit() < 0.5) {
                changeOne(endpoints, random, time + step, write);
            }
            if (random.unit() < 0.2) {
                store.configuration += 1;
            }
            const [first, second] = [random.integerBelow(4), random.integerBelow(4)];
            if (first < 2 && random.unit() < 0.5) {
                processes[first].poll(store);
            }
            processes[second].exchange(processes[first]);
        }
    };
    for (let restoration = 1; restoration <= 2; restoration++) {
        work(30, restoration * 1_000);
        const copy = store.copy();
        work(20, restoration * 1_000 + 500);
        const { configuration } = store;
        store.restore(copy);
        // Some processes read the copy as it is, before anything is written again.
        work(random.integerBelow(2), restoration * 1_000 + 600);
        processes[random.integerBelow(2)].poll(store);
        for (const instance of new Set([...store.instances(), ...endpoints.keys()])) {
            const current = endpoints.get(instance);
            if (JSON.stringify(store.read(instance)) !== JSON.stringify(current)) {
                write(instance, current);
            }
        }
        store.configuration = Math.max(store.configuration, configuration);
    }
    work(30, 5_000);
    [0, 1].forEach((watching) => processes[watching].poll(store));
    processes.forEach((receiver) => processes.forEach((sender) => receiver.exchange(sender)));
    const serving = [...endpoints].filter(([, { leaving }]) => !leaving)
        .map(([instance, { startedAt }]) => `${instance} ${startedAt}`).sort();
    return { serving, known: processes.map((process) => process.inUse()) };
}

describe("the state of a fleet whose store is restored from a copy", () => {
    // Guards against endpoints that are used after they left, or not at all, since the store gives revisions out again.
    it("is that of the endpoints at all processes in the end, and never goes back, on 300 seeds", () => {
        for (let seed = 1; seed <= 300; seed++) {
            const { known, serving } = play(seed);
            known.forEach((inUse, process) =>
                expect(inUse, `seed ${seed}, process ${process}`).to.deep.equal(serving)
            );
        }
    });

    it("takes a configuration that has the version of one that the store has lost", () => {
        const state = new FleetState();
        const apply = (era: number, revision: number, headerBytes: number) => {
            const configuration = configurationFixture(4);
            return state.applyFact({
                kind: FactKind.Configuration,
                revision: storePosition(era, revision),
                configuration: { ...configuration, limits: { ...configuration.limits, headerBytes } },
            }, 0);
        };
        expect(apply(1, 100, 8_000)).to.equal(true);
        expect(apply(2, 60, 8_000)).to.equal(false);
        expect(apply(2, 61, 9_000)).to.equal(true);
        expect(apply(1, 100, 8_000)).to.equal(false);
        expect(state.configuration?.limits.headerBytes).to.equal(9_000);
    });

    // Guards against routers that start while the store has lost the newest weights, and stay with the older ones.
    it("sends the desired weights that the store has lost to a process that knows only the copy", () => {
        const weightsAt = (era: number, revision: number, version: number) =>
            weightsFact(version, storePosition(era, revision), 0);
        const running = new FleetState();
        const started = new FleetState();
        running.applyFact(weightsAt(1, 100, 5), 0);
        running.applyFact(weightsAt(2, 40, 4), 0);
        started.applyFact(weightsAt(2, 40, 4), 0);
        running.factsSince(started.watermark(), 0).forEach((fact) => started.applyFact(fact, 0));
        expect(started.desiredWeightsOf("drafting")?.version).to.equal(5);
        running.applyFact(weightsAt(2, 60, 5), 0);
        started.applyFact(weightsAt(2, 60, 5), 0);
        expect(running.factsSince(started.watermark(), 0)).to.deep.equal([]);
    });
});

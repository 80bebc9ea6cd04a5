import { FakeClock, type RandomSource, seededRandom, silentLogger } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { ConfigurationMessage } from "@redwingpin/protocol";
import type { RouterPeer } from "../decision/replicaEvents.js";
import { type Configuration, createConfiguration } from "../node/configurationTask.js";

const messageDelay = 2;

/** Processes that exchange messages over a network that can be partitioned, on a fake clock. */
export class NetworkFixture {
    readonly clock = new FakeClock();
    readonly random: RandomSource = seededRandom(7);
    readonly nodes = new Map<string, Configuration>();
    /** Pairs that cannot reach each other, in the form `from to`. */
    readonly partitions = new Set<string>();
    private readonly routers: string[] = [];
    private readonly agents: string[] = [];

    addRouter(instance: string, store: KeyValueStore | undefined): Configuration {
        this.routers.push(instance);
        return this.add(instance, store, true);
    }

    addAgent(instance: string): Configuration {
        this.agents.push(instance);
        return this.add(instance, undefined, false);
    }

    /** Replaces a router by a new process without state. */
    restartRouter(instance: string, store: KeyValueStore | undefined): Configuration {
        this.nodes.get(instance)?.stop();
        return this.add(instance, store, true);
    }

    partition(one: string, other: string): void {
        this.partitions.add(`${one} ${other}`).add(`${other} ${one}`);
    }

    startAll(): void {
        for (const node of this.nodes.values()) {
            node.start();
        }
    }

    /** Advances the clock in small steps and lets the store's promises settle after each. */
    async advance(duration: number): Promise<void> {
        for (let step = 0; step < duration; step += 10) {
            this.clock.advance(10);
            for (let turn = 0; turn < 12; turn++) {
                await Promise.resolve();
            }
            await new Promise((resolve) => setImmediate(resolve));
        }
    }

    revisions(): number[] {
        return [...this.nodes.values()].map((node) => node.revision());
    }

    private add(instance: string, store: KeyValueStore | undefined, isRouter: boolean): Configuration {
        const node = createConfiguration({
            clock: this.clock,
            random: this.random,
            logger: silentLogger,
            instance,
            dataCentre: "hobart",
            store,
            peers: {
                routers: () => this.routers.filter((router) => router !== instance).map(routerPeer),
                agents: () =>
                    isRouter ? this.agents.map((agent) => ({ instance: agent, isOwned: true })) : [],
                send: (to, message) => this.send(instance, to, message),
            },
        });
        this.nodes.set(instance, node);
        return node;
    }

    private send(from: string, to: string, message: ConfigurationMessage): void {
        if (this.partitions.has(`${from} ${to}`)) {
            return;
        }
        const body: unknown = JSON.parse(JSON.stringify(message));
        this.clock.schedule(messageDelay, () => this.nodes.get(to)?.handle(body, from));
    }
}

function routerPeer(instance: string): RouterPeer {
    return { instance, dataCentre: "hobart" };
}

import { FakeClock, type RandomSource, seededRandom, silentLogger } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { ConfigurationMessage } from "@redwingpin/protocol";
import type { SpreadPeer } from "../decision/replicaEvents.js";
import { type Configuration, createConfiguration } from "../node/configurationTask.js";

const messageDelay = 2;

/** Processes that send each other messages over a network with cuts, on a fake clock. */
export class NetworkFixture {
    readonly clock = new FakeClock();
    readonly random: RandomSource = seededRandom(7);
    readonly nodes = new Map<string, Configuration>();
    /** Pairs that cannot reach each other, as `one other`. */
    readonly cuts = new Set<string>();
    private readonly routers: string[] = [];
    private readonly agents: string[] = [];

    /** Adds a router with its own view of the store. */
    addRouter(instance: string, store: KeyValueStore | undefined): Configuration {
        this.routers.push(instance);
        return this.add(instance, store, true);
    }

    addAgent(instance: string): Configuration {
        this.agents.push(instance);
        return this.add(instance, undefined, false);
    }

    /** Ends a process and starts it anew, without memory. */
    restartRouter(instance: string, store: KeyValueStore | undefined): Configuration {
        this.nodes.get(instance)?.stop();
        return this.add(instance, store, true);
    }

    cut(one: string, other: string): void {
        this.cuts.add(`${one} ${other}`).add(`${other} ${one}`);
    }

    startAll(): void {
        for (const node of this.nodes.values()) {
            node.start();
        }
    }

    /** Moves time in small steps, and lets the store's promises settle between them. */
    async pass(duration: number): Promise<void> {
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
                routers: () => this.routers.filter((router) => router !== instance).map(spreadPeer),
                agents: () => isRouter ? this.agents.map((agent) => ({ instance: agent, isHome: true })) : [],
                send: (to, message) => this.send(instance, to, message),
            },
        });
        this.nodes.set(instance, node);
        return node;
    }

    private send(from: string, to: string, message: ConfigurationMessage): void {
        if (this.cuts.has(`${from} ${to}`)) {
            return;
        }
        const body: unknown = JSON.parse(JSON.stringify(message));
        this.clock.schedule(messageDelay, () => this.nodes.get(to)?.handle(body, from));
    }
}

function spreadPeer(instance: string): SpreadPeer {
    return { instance, dataCentre: "hobart" };
}

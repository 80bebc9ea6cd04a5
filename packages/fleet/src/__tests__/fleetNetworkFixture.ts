import { FakeClock, type Milliseconds, seededRandom, silentLogger } from "@redwingpin/common";
import {
    type Connection,
    type Hello,
    type InnerAddress,
    type InnerNode,
    MessageKind,
    ProcessRole,
    type ProtocolError,
    protocolError,
    ProtocolErrorKind,
    Topic,
    type TopicHandler,
} from "@redwingpin/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { emptyReport, type FleetFact, FleetState, FleetSync, formatAddress } from "../index.js";

/** Time for a message to arrive. */
const latency: Milliseconds = 2;

/** The clock advances in steps of this length; promises settle in between. */
const step: Milliseconds = 2;

/** More than the longest chain of promises between two messages. */
const microtasksPerStep = 30;

/** A router whose exchanges run over a {@link FleetNetwork}. */
export interface SimulatedRouter {
    readonly name: string;
    readonly state: FleetState;
    readonly sync: FleetSync;
    /** Applies facts and passes them on as a router does. */
    readonly applyFacts: (facts: readonly FleetFact[], from: "store" | "peer") => void;
}

/** Routers that exchange over a simulated network on a fake clock. */
export class FleetNetwork {
    readonly clock = new FakeClock(1_000);
    readonly routers: readonly SimulatedRouter[];
    private readonly handlers = new Map<string, TopicHandler>();

    constructor(size: number) {
        const addresses = Array.from(
            { length: size },
            (_, index) => ({ host: `10.0.0.${index}`, port: 7_600 }),
        );
        const seeds = addresses.slice(0, 3);
        this.routers = addresses.map((address, index) => this.createRouter(address, index, seeds));
        this.routers.forEach(({ sync }) => sync.start());
    }

    /** Advances the clock. */
    async run(duration: Milliseconds): Promise<void> {
        for (let elapsed = 0; elapsed < duration; elapsed += step) {
            this.clock.advance(step);
            for (let microtask = 0; microtask < microtasksPerStep; microtask++) {
                await Promise.resolve();
            }
        }
    }

    /** Runs until every router knows every other one as live. */
    async runUntilConnected(): Promise<void> {
        while (this.routers.some(({ sync }) => sync.liveRouterCount() < this.routers.length - 1)) {
            await this.run(100);
        }
    }

    /** Exchanges that each router has started or answered, in the order of the routers. */
    exchanges(): number[] {
        return this.routers.map(({ sync: { counts } }) =>
            counts.scheduledExchanges + counts.deliveryExchanges + counts.answeredExchanges
        );
    }

    stop(): void {
        this.routers.forEach(({ sync }) => sync.stop());
    }

    private createRouter(
        address: InnerAddress,
        index: number,
        seeds: readonly InnerAddress[],
    ): SimulatedRouter {
        const name = formatAddress(address);
        const state = new FleetState();
        const applyFacts = (facts: readonly FleetFact[], from: "store" | "peer") => {
            const newFacts = facts.filter((fact) => state.applyFact(fact, this.clock.now()));
            if (newFacts.length > 0) {
                sync.passOn(from === "store", () => false);
            }
        };
        const sync: FleetSync = new FleetSync({
            clock: this.clock,
            logger: silentLogger,
            random: seededRandom(index + 1),
            innerNode: this.innerNode(name),
            state,
            address,
            role: ProcessRole.Router,
            isStoreReachable: () => false,
            seeds,
            agents: () => [],
            report: () => emptyReport,
            hasPendingReport: () => true,
            isOwnerOf: () => false,
            onReport: () => {},
            onReplicaStatus: () => {},
            onReportDelivered: () => {},
            onFacts: (facts) => applyFacts(facts, "peer"),
        });
        return { name, state, sync, applyFacts };
    }

    /** The part of an inner node that exchanges use. */
    private innerNode(own: string): InnerNode {
        const connections = new Map<string, Connection>();
        const connect = (address: InnerAddress) => {
            const name = formatAddress(address);
            const connection = connections.get(name) ?? this.connection(own, name);
            connections.set(name, connection);
            return ResultAsync.fromSafePromise(Promise.resolve(connection));
        };
        const node = {
            handle: (_topic: Topic, handler: TopicHandler) => void this.handlers.set(own, handler),
            connect,
            reuseConnection: () => {},
            openConnections: () => [...connections.values()],
            call: (address: InnerAddress, topic: Topic, body: unknown, timeout: Milliseconds) =>
                connect(address).andThen((connection) => connection.call(topic, body, timeout)),
        };
        return node as unknown as InnerNode;
    }

    private connection(own: string, name: string): Connection {
        const sender = helloFixture(own);
        const deliver = async (body: unknown): Promise<Result<unknown, ProtocolError>> => {
            await this.delay();
            const answer = await this.handlers.get(name)?.(body, sender);
            await this.delay();
            return answer === undefined
                ? err(protocolError(ProtocolErrorKind.Timeout, `${name} did not answer`))
                : ok(answer);
        };
        const connection = {
            peer: helloFixture(name),
            call: (_topic: Topic, body: unknown) => new ResultAsync(deliver(body)),
            notify: (_topic: Topic, body: unknown) => void deliver(body),
            close: () => {},
        };
        return connection as unknown as Connection;
    }

    private delay(): Promise<void> {
        return new Promise((resolve) => void this.clock.schedule(latency, resolve));
    }
}

function helloFixture(name: string): Hello {
    return {
        kind: MessageKind.Hello,
        version: 1,
        role: ProcessRole.Router,
        instance: name,
        incarnation: name,
        revision: 0,
    };
}

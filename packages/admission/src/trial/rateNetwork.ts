/**
 * A network between simulated routers that can be cut in either direction and that loses, repeats and delays
 * messages on the rates topic.
 *
 * @module
 */
import { type FakeClock, type Milliseconds, pick, type RandomSource, sleep } from "@redwingpin/common";
import type { SimulatedProcess } from "@redwingpin/outside";
import { encodeFrame, MessageKind, type RateMessage, Topic } from "@redwingpin/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { RatePeers } from "../node/admissionOptions.js";

/** Where messages arrive. */
export interface NetworkNode {
    readonly process: SimulatedProcess;
    readonly handle: (message: RateMessage, from: string) => Promise<RateMessage>;
}

/** What is wrong with the network. Probabilities are from 0 to 1. */
export interface NetworkFaults {
    loss: number;
    repetition: number;
    delay: number;
}

const delays: readonly Milliseconds[] = [30, 100, 200, 240, 1_000, 2_000];

/** The network. */
export class RateNetwork {
    readonly faults: NetworkFaults = { loss: 0, repetition: 0, delay: 0 };
    /** Messages sent, answers included, and their bytes as frames. */
    readonly counts = { messages: 0, bytes: 0 };
    private readonly nodes = new Map<string, NetworkNode>();
    private readonly cuts = new Set<string>();

    /** A message takes `latency` one way. */
    constructor(
        private readonly clock: FakeClock,
        private readonly random: RandomSource,
        private readonly latency: Milliseconds,
    ) {}

    /** Makes `instance` reachable; `undefined` takes it from the network. */
    attach(instance: string, node: NetworkNode | undefined): void {
        if (node === undefined) {
            this.nodes.delete(instance);
        }
        else {
            this.nodes.set(instance, node);
        }
    }

    /** Cuts the way from one instance to another, or heals it. */
    setCut(from: string, to: string, cut: boolean): void {
        const way = `${from}>${to}`;
        if (cut) {
            this.cuts.add(way);
        }
        else {
            this.cuts.delete(way);
        }
    }

    /** Heals every cut. */
    healAll(): void {
        this.cuts.clear();
    }

    /** The network as one process reaches it. */
    peersOf(instance: string, process: SimulatedProcess): RatePeers {
        return {
            send: (to, message) => new ResultAsync(process.receive(this.call(instance, to, message))),
        };
    }

    private async call(from: string, to: string, message: RateMessage): Promise<Result<RateMessage, string>> {
        const answers: Promise<Result<RateMessage, string>>[] = [this.exchange(from, to, message)];
        if (this.happens(this.faults.repetition)) {
            answers.push(this.exchange(from, to, message));
        }
        return await Promise.race(answers);
    }

    private async exchange(
        from: string,
        to: string,
        message: RateMessage,
    ): Promise<Result<RateMessage, string>> {
        await this.carry(from, to, message);
        const node = this.nodes.get(to);
        if (node === undefined) {
            return err(`instance "${to}" cannot be reached`);
        }
        const answer = await new Promise<RateMessage>((resolve) => {
            node.process.run(() => void node.handle(message, from).then(resolve));
        });
        await this.carry(to, from, answer);
        return ok(answer);
    }

    /** Resolves when the message has arrived; never, where it is lost. */
    private async carry(from: string, to: string, message: RateMessage): Promise<void> {
        this.counts.messages += 1;
        this.counts.bytes += bytesOf(message);
        if (this.cuts.has(`${from}>${to}`) || this.happens(this.faults.loss)) {
            return await new Promise(() => {});
        }
        const late = this.happens(this.faults.delay) ? pick(this.random, delays)! : 0;
        await sleep(this.clock, this.latency + late);
    }

    private happens(probability: number): boolean {
        return probability > 0 && this.random.unit() < probability;
    }
}

function bytesOf(message: RateMessage): number {
    return encodeFrame({ kind: MessageKind.Topic, topic: Topic.Rates, call: 1, revision: 1, body: message })
        .length;
}

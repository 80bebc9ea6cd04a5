/**
 * A simulated network between routers that loses, duplicates and delays messages on the rates topic and that can be
 * partitioned in either direction.
 *
 * @module
 */
import { type FakeClock, type Milliseconds, pick, type RandomSource, sleep } from "@redwingpin/common";
import type { SimulatedProcess } from "@redwingpin/outside";
import { encodeFrame, MessageKind, type RateMessage, Topic } from "@redwingpin/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { RatePeers } from "../node/admissionOptions.js";

/** A receiver of messages. */
export interface NetworkNode {
    readonly process: SimulatedProcess;
    readonly handle: (message: RateMessage, from: string) => Promise<RateMessage>;
}

/** Faults of the network, as probabilities from 0 to 1 for each message. */
export interface NetworkFaults {
    loss: number;
    repetition: number;
    delay: number;
}

const delays: readonly Milliseconds[] = [30, 100, 200, 240, 1_000, 2_000];

/** A simulated network. */
export class RateNetwork {
    readonly faults: NetworkFaults = { loss: 0, repetition: 0, delay: 0 };
    /** Messages sent, including answers, and their size in bytes as encoded frames. */
    readonly counts = { messages: 0, bytes: 0 };
    private readonly nodes = new Map<string, NetworkNode>();
    private readonly partitions = new Set<string>();

    /** `latency` is the one-way latency of a message. */
    constructor(
        private readonly clock: FakeClock,
        private readonly random: RandomSource,
        private readonly latency: Milliseconds,
    ) {}

    /** Attaches `instance` to the network; `undefined` detaches it. */
    attach(instance: string, node: NetworkNode | undefined): void {
        if (node === undefined) {
            this.nodes.delete(instance);
        }
        else {
            this.nodes.set(instance, node);
        }
    }

    /** Blocks or unblocks messages from one instance to another. */
    setPartitioned(from: string, to: string, isPartitioned: boolean): void {
        const direction = `${from}>${to}`;
        if (isPartitioned) {
            this.partitions.add(direction);
        }
        else {
            this.partitions.delete(direction);
        }
    }

    /** Removes every partition. */
    removePartitions(): void {
        this.partitions.clear();
    }

    /** The peers that a process of `instance` can send to. */
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
            return err(`instance "${to}" is unreachable`);
        }
        const answer = await new Promise<RateMessage>((resolve) => {
            node.process.run(() => void node.handle(message, from).then(resolve));
        });
        await this.carry(to, from, answer);
        return ok(answer);
    }

    /** Resolves when the message has arrived; never resolves if it is lost. */
    private async carry(from: string, to: string, message: RateMessage): Promise<void> {
        this.counts.messages += 1;
        this.counts.bytes += bytesOf(message);
        if (this.partitions.has(`${from}>${to}`) || this.happens(this.faults.loss)) {
            return await new Promise(() => {});
        }
        const extraDelay = this.happens(this.faults.delay) ? pick(this.random, delays)! : 0;
        await sleep(this.clock, this.latency + extraDelay);
    }

    private happens(probability: number): boolean {
        return probability > 0 && this.random.unit() < probability;
    }
}

function bytesOf(message: RateMessage): number {
    return encodeFrame({ kind: MessageKind.Topic, topic: Topic.Rates, call: 1, revision: 1, body: message })
        .length;
}

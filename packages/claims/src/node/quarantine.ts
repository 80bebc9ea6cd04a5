/**
 * The quarantine of one router: receives reports of crashes, forwards them to the other routers, and writes the
 * suspects to the store for routers that start while no other router is reachable.
 *
 * @module
 */
import { type Clock, type Logger, sleep } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import { decode, encode } from "cbor-x";
import * as constants from "../constants.js";
import {
    isQuarantineMessage,
    isSuspects,
    type QuarantineMessage,
    QuarantineMessageKind,
    type SuspectReport,
} from "../decision/quarantine/quarantineMessages.js";
import { IsolationLevel, type Suspect, SuspectTracker } from "../decision/quarantine/suspectTracker.js";

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /** Sends a message to every reachable router; resolves with their answers. */
    readonly broadcast: (message: QuarantineMessage) => Promise<readonly unknown[]>;
}

/** Tracks which requests are suspected of crashing endpoints. */
export interface Quarantine {
    /**
     * Requests the suspects of the other routers and starts to read the store at an interval. Resolves when the routers
     * have answered or are unreachable. Requests that are served before that may run as if they were not suspect.
     */
    start(): Promise<void>;
    stop(): void;
    /** How a request with this fingerprint may run; to be checked before each attempt. */
    isolationLevel(fingerprint: string): IsolationLevel;
    /** Records that a request has completed in isolation. */
    recordIsolatedCompletion(fingerprint: string): void;
    /** Handles a message on the quarantine topic; returns the answer to an inquiry. */
    handle(body: unknown): SuspectReport | undefined;
}

/** Key of the suspects in the store. */
export const quarantineKey = "redwingpin/quarantine/suspects";

/** Creates the quarantine of a router. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
    return new RouterQuarantine(options);
}

class RouterQuarantine implements Quarantine {
    private readonly tracker = new SuspectTracker({
        duration: constants.quarantineDuration,
        crashesBeforeQuarantine: constants.crashesBeforeQuarantine,
        maximumSuspects: constants.maximumSuspects,
    });
    private isStopped = false;
    private isWriting = false;
    private mustWriteAgain = false;

    constructor(private readonly options: QuarantineOptions) {}

    async start(): Promise<void> {
        void this.pollStore();
        await this.requestSuspects();
    }

    stop(): void {
        this.isStopped = true;
    }

    isolationLevel(fingerprint: string): IsolationLevel {
        return this.tracker.isolationLevel(fingerprint, this.now());
    }

    recordIsolatedCompletion(fingerprint: string): void {
        const cleared = this.tracker.clear(fingerprint, this.now());
        if (cleared !== undefined) {
            this.publish([cleared]);
        }
    }

    handle(body: unknown): SuspectReport | undefined {
        if (!isQuarantineMessage(body)) {
            return undefined;
        }
        switch (body.kind) {
            case QuarantineMessageKind.Crash:
                this.recordSuspects(body.fingerprints.map((fingerprint) => ({
                    fingerprint,
                    crashes: [body.crash],
                    cleared: [],
                })));
                return undefined;
            case QuarantineMessageKind.Suspects:
                this.tracker.merge(body.suspects, this.now());
                return undefined;
            case QuarantineMessageKind.Inquiry:
                return { kind: QuarantineMessageKind.Suspects, suspects: this.tracker.entries(this.now()) };
        }
    }

    private now(): number {
        return this.options.clock.wallTime();
    }

    private recordSuspects(suspects: readonly Suspect[]): void {
        if (this.tracker.merge(suspects, this.now())) {
            this.publish(suspects);
        }
    }

    private publish(suspects: readonly Suspect[]): void {
        void this.options.broadcast({ kind: QuarantineMessageKind.Suspects, suspects });
        void this.saveSuspects();
    }

    private async requestSuspects(): Promise<void> {
        const answers = await this.options.broadcast({ kind: QuarantineMessageKind.Inquiry });
        for (const answer of answers) {
            if (isQuarantineMessage(answer) && answer.kind === QuarantineMessageKind.Suspects) {
                this.tracker.merge(answer.suspects, this.now());
            }
        }
    }

    private async pollStore(): Promise<void> {
        while (!this.isStopped) {
            const read = await this.options.store.read(quarantineKey);
            if (read.isOk() && read.value !== undefined) {
                this.tracker.merge(decodeSuspects(read.value.value), this.now());
            }
            await sleep(this.options.clock, constants.quarantineReadInterval);
        }
    }

    /** Merges this router's suspects into the store; retries a limited number of times on conflicts and failures. */
    private async saveSuspects(): Promise<void> {
        this.mustWriteAgain = this.isWriting;
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        for (let attempt = 0; attempt < constants.quarantineWriteAttempts; attempt++) {
            const outcome = await this.writeOnce();
            if (outcome === "written" && !this.mustWriteAgain) {
                break;
            }
            this.mustWriteAgain = false;
            if (outcome === "failed") {
                await sleep(this.options.clock, constants.maximumStoreBackoff);
            }
        }
        this.isWriting = false;
    }

    private async writeOnce(): Promise<"written" | "conflict" | "failed"> {
        const { store, logger } = this.options;
        const read = await store.read(quarantineKey);
        if (read.isErr()) {
            logger.warn("failed to read the suspects from the store; new suspects are not stored yet", {
                message: read.error.message,
            });
            return "failed";
        }
        this.tracker.merge(read.value === undefined ? [] : decodeSuspects(read.value.value), this.now());
        const value = encode(this.tracker.entries(this.now()));
        const swap = await store.compareAndSwap(quarantineKey, read.value?.modRevision ?? 0, value);
        return swap.match((outcome) => outcome.swapped ? "written" : "conflict", () => "failed");
    }
}

function decodeSuspects(value: Uint8Array): readonly Suspect[] {
    try {
        const suspects: unknown = decode(value);
        return isSuspects(suspects) ? suspects : [];
    }
    catch {
        return [];
    }
}

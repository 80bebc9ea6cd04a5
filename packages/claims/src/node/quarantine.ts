/**
 * The quarantine of one router: takes in reports of crashes, tells the other routers, and keeps the suspects in the
 * store for routers that start when no other can be asked.
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
import { type Suspect, SuspectTracker, Treatment } from "../decision/quarantine/suspectTracker.js";

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /** Sends a message to every other router, as far as they can be reached; resolves with their answers. */
    readonly broadcast: (message: QuarantineMessage) => Promise<readonly unknown[]>;
}

/** Knows which requests are suspected of crashing endpoints. */
export interface Quarantine {
    /**
     * Asks the other routers what they know and looks into the store at an interval. Resolves when the others have
     * answered or cannot be reached; requests that are served before that may be treated as unknown.
     */
    start(): Promise<void>;
    stop(): void;
    /** How a request with this fingerprint is run; ask again before each attempt. */
    treatment(fingerprint: string): Treatment;
    /** Says that a request has run apart to its end. */
    completedApart(fingerprint: string): void;
    /** Takes a message on the quarantine topic; answers an inquiry. */
    handle(body: unknown): SuspectReport | undefined;
}

/** Key of the suspects in the store. */
export const quarantineKey = "redwingpin/quarantine/suspects";

/** Makes the quarantine of a router. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
    return new RouterQuarantine(options);
}

class RouterQuarantine implements Quarantine {
    private readonly book = new SuspectTracker({
        duration: constants.quarantineDuration,
        crashesBeforeQuarantine: constants.crashesBeforeQuarantine,
        maximumSuspects: constants.maximumSuspects,
    });
    private stopped = false;
    private writing = false;
    private writeAgain = false;

    constructor(private readonly options: QuarantineOptions) {}

    async start(): Promise<void> {
        void this.watchStore();
        await this.inquire();
    }

    stop(): void {
        this.stopped = true;
    }

    treatment(fingerprint: string): Treatment {
        return this.book.treatment(fingerprint, this.now());
    }

    completedApart(fingerprint: string): void {
        const cleared = this.book.clear(fingerprint, this.now());
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
                this.learn(body.fingerprints.map((fingerprint) => ({
                    fingerprint,
                    crashes: [body.crash],
                    cleared: [],
                })));
                return undefined;
            case QuarantineMessageKind.Suspects:
                this.book.merge(body.suspects, this.now());
                return undefined;
            case QuarantineMessageKind.Inquiry:
                return { kind: QuarantineMessageKind.Suspects, suspects: this.book.entries(this.now()) };
        }
    }

    private now(): number {
        return this.options.clock.wallTime();
    }

    private learn(suspects: readonly Suspect[]): void {
        if (this.book.merge(suspects, this.now())) {
            this.publish(suspects);
        }
    }

    private publish(suspects: readonly Suspect[]): void {
        void this.options.broadcast({ kind: QuarantineMessageKind.Suspects, suspects });
        void this.save();
    }

    private async inquire(): Promise<void> {
        const answers = await this.options.broadcast({ kind: QuarantineMessageKind.Inquiry });
        for (const answer of answers) {
            if (isQuarantineMessage(answer) && answer.kind === QuarantineMessageKind.Suspects) {
                this.book.merge(answer.suspects, this.now());
            }
        }
    }

    private async watchStore(): Promise<void> {
        while (!this.stopped) {
            const read = await this.options.store.read(quarantineKey);
            if (read.isOk() && read.value !== undefined) {
                this.book.merge(decodeSuspects(read.value.value), this.now());
            }
            await sleep(this.options.clock, constants.quarantineReadInterval);
        }
    }

    /** Adds what this router knows to the store; tries again while others write, and gives up where it is down. */
    private async save(): Promise<void> {
        this.writeAgain = this.writing;
        if (this.writing) {
            return;
        }
        this.writing = true;
        for (let attempt = 0; attempt < constants.quarantineWriteAttempts; attempt++) {
            const outcome = await this.writeOnce();
            if (outcome === "written" && !this.writeAgain) {
                break;
            }
            this.writeAgain = false;
            if (outcome === "failed") {
                await sleep(this.options.clock, constants.maximumStoreBackoff);
            }
        }
        this.writing = false;
    }

    private async writeOnce(): Promise<"written" | "raced" | "failed"> {
        const { store, logger } = this.options;
        const read = await store.read(quarantineKey);
        if (read.isErr()) {
            logger.warn("the store gave no answer; suspects are not recorded", {
                message: read.error.message,
            });
            return "failed";
        }
        this.book.merge(read.value === undefined ? [] : decodeSuspects(read.value.value), this.now());
        const value = encode(this.book.entries(this.now()));
        const swap = await store.compareAndSwap(quarantineKey, read.value?.modRevision ?? 0, value);
        return swap.match((outcome) => outcome.swapped ? "written" : "raced", () => "failed");
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

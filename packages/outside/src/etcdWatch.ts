/**
 * A watch on one key over the etcd JSON gateway. It delivers the key's state when it first connects, and then each
 * change. If the connection breaks, it reconnects and continues after the last revision that it received. If the store
 * no longer holds the changes since then, it reads the key again.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds, RandomSource } from "@redwingpin/common";
import { ok, Result, type ResultAsync } from "neverthrow";
import { createInterface } from "node:readline";
import { initialWatchBackoffMilliseconds, maximumWatchBackoffMilliseconds } from "./constants.js";
import {
    asList,
    asObject,
    encodeKey,
    type JsonObject,
    parseEntry,
    parseHeaderRevision,
    parseObject,
} from "./etcdWire.js";
import { describeError, type JsonHttpClient } from "./jsonHttpClient.js";
import type { StoreChange, StoreEntry, StoreError } from "./store.js";

/** Options of {@link EtcdWatch}. */
export interface EtcdWatchOptions {
    readonly key: string;
    readonly client: JsonHttpClient;
    readonly clock: Clock;
    readonly renewMilliseconds: Milliseconds;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Reads the key's current state. */
    readonly read: () => ResultAsync<StoreEntry | undefined, StoreError>;
    readonly onChange: (change: StoreChange) => void;
}

/** One watch, which runs until it is cancelled. */
export class EtcdWatch {
    private readonly cancelled = new AbortController();
    /** Revision from which the next connection continues, or `undefined` if the state must be read first. */
    private nextRevision: number | undefined;
    private failures = 0;

    constructor(private readonly options: EtcdWatchOptions) {}

    /** Ends the watch. No change is delivered afterwards. */
    cancel(): void {
        this.cancelled.abort(new Error("the watch was cancelled"));
    }

    /** Reconnects until the watch is cancelled. */
    async run(): Promise<void> {
        while (!this.isCancelled()) {
            try {
                await this.connect();
                this.failures = 0;
            }
            catch (error) {
                this.failures++;
                this.logFailure(error);
            }
            if (!this.isCancelled() && this.failures > 0) {
                await this.backOff();
            }
        }
    }

    private isCancelled(): boolean {
        return this.cancelled.signal.aborted;
    }

    private logFailure(error: unknown): void {
        if (!this.isCancelled()) {
            const fields = { key: this.options.key, error: describeError(error), failures: this.failures };
            this.options.logger.warn("watch failed, reconnecting after a delay", fields);
        }
    }

    private backOff(): Promise<void> {
        const maxDelay = Math.min(
            maximumWatchBackoffMilliseconds,
            initialWatchBackoffMilliseconds * 2 ** Math.min(this.failures - 1, 16),
        );
        const delay = maxDelay / 2 + this.options.random.unit() * maxDelay / 2;
        return new Promise((resolve) => {
            const cancelTimer = this.options.clock.schedule(delay, resolve);
            this.cancelled.signal.addEventListener("abort", () => {
                cancelTimer();
                resolve();
            }, { once: true });
        });
    }

    /** Opens one connection and reads it until it ends, fails or must be renewed. */
    private async connect(): Promise<void> {
        const renewal = new AbortController();
        const stop = AbortSignal.any([renewal.signal, this.cancelled.signal]);
        const cancelTimer = this.options.clock.schedule(
            this.options.renewMilliseconds,
            () => renewal.abort(new Error("the watch is renewed")),
        );
        try {
            await this.readConnection(stop);
        }
        catch (error) {
            if (!renewal.signal.aborted) {
                throw error;
            }
        }
        finally {
            cancelTimer();
            renewal.abort();
        }
    }

    private async readConnection(stop: AbortSignal): Promise<void> {
        const create = { key: encodeKey(this.options.key), start_revision: this.nextRevision?.toString() };
        const call = { method: "POST", path: "/v3/watch", body: { create_request: create } } as const;
        const response = await this.options.client.openStream(call, stop);
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new Error(`/v3/watch answered status ${response.statusCode}`);
        }
        for await (const line of createInterface({ input: response.body, crlfDelay: Infinity })) {
            const result = unwrap(parseResult(line));
            if (!await this.processMessage(result)) {
                response.body.destroy();
                return;
            }
        }
        throw new Error("the store ended the watch");
    }

    /** Processes one message. Returns false if the watch must reconnect. */
    private async processMessage(result: JsonObject): Promise<boolean> {
        if (result.canceled === true) {
            this.nextRevision = undefined;
            return false;
        }
        const revision = unwrap(parseHeaderRevision(result));
        if (result.created === true && !await this.deliverInitialState(revision)) {
            return false;
        }
        for (const change of unwrap(parseEvents(result, this.options.key))) {
            this.deliver(change);
        }
        this.nextRevision = Math.max(this.nextRevision ?? 0, revision + 1);
        this.failures = 0;
        return true;
    }

    /** Delivers the key's state unless the watch continues from a revision. Returns false if the store is behind it. */
    private async deliverInitialState(revision: number): Promise<boolean> {
        if (this.nextRevision !== undefined) {
            const isBehind = revision < this.nextRevision - 1;
            this.nextRevision = isBehind ? undefined : this.nextRevision;
            return !isBehind;
        }
        const entry = unwrap((await this.options.read()).mapErr((error) => error.message));
        this.deliver({ key: this.options.key, entry });
        return true;
    }

    private deliver(change: StoreChange): void {
        if (!this.isCancelled()) {
            this.options.onChange(change);
        }
    }
}

function parseResult(line: string): Result<JsonObject, string> {
    return parseObject(line).andThen((message) => asObject(message.result, "result"));
}

function parseEvents(result: JsonObject, key: string): Result<StoreChange[], string> {
    return asList(result.events, "result.events")
        .andThen((events) => Result.combine(events.map((event) => parseEvent(event, key))));
}

function parseEvent(value: unknown, key: string): Result<StoreChange, string> {
    return asObject(value, "event").andThen((event) => {
        if (event.type === "DELETE") {
            return ok<StoreChange, string>({ key, entry: undefined });
        }
        return parseEntry(event.kv).map((entry): StoreChange => ({ key, entry }));
    });
}

function unwrap<T>(result: Result<T, string>): T {
    if (result.isErr()) {
        throw new Error(result.error);
    }
    return result.value;
}

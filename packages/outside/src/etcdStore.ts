/**
 * Client of the key-value store over the JSON gateway of etcd version 3.
 *
 * A write that was not sent, or that the store refused with a client error, fails as `notApplied`. A write whose answer
 * was lost, late or malformed fails as `unknown`. A read has no effect, so a failed read is always `notApplied`.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds, RandomSource } from "@redwingpin/common";
import { seededRandom, silentLogger } from "@redwingpin/common";
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import {
    defaultRequestTimeoutMilliseconds,
    defaultWatchRenewMilliseconds,
    maximumValueBytes,
} from "./constants.js";
import { EtcdWatch } from "./etcdWatch.js";
import {
    asInteger,
    asObject,
    encodeKey,
    encodePrefixEnd,
    type JsonObject,
    parseObject,
    parseRange,
    parseSwap,
    swapBody,
} from "./etcdWire.js";
import { type HttpFailure, JsonHttpClient } from "./jsonHttpClient.js";
import type { KeyValueStore, StoreChange, StoreEntry, StoreError, SwapOutcome } from "./store.js";

/** Options of {@link createEtcdStore}. */
export interface EtcdStoreOptions {
    /** Base address of the gateway without a trailing slash, for example `http://127.0.0.1:2379`. */
    readonly address: string;
    readonly clock: Clock;
    /**
     * Time after which a call without an answer fails.
     * @default 2000
     */
    readonly requestTimeoutMilliseconds?: Milliseconds;
    /**
     * Time after which a watch reconnects.
     * @default 60000
     */
    readonly watchRenewMilliseconds?: Milliseconds;
    /**
     * Randomizes the delays before failed watches reconnect.
     * @default seeded from the process identifier and the time
     */
    readonly random?: RandomSource;
    /** @default silentLogger */
    readonly logger?: Logger;
}

/** A store with connections that must be closed after use. */
export interface EtcdStore extends KeyValueStore {
    /** Cancels every watch and closes every connection. */
    close(): Promise<void>;
}

/** Creates a client of the store. It connects at the first call. */
export function createEtcdStore(options: EtcdStoreOptions): EtcdStore {
    return new EtcdStoreClient(options);
}

const millisecondsPerSecond = 1_000;
const statusBadRequest = 400;
const statusRequestTimeout = 408;
const statusClientClosed = 499;
const statusServerError = 500;

class EtcdStoreClient implements EtcdStore {
    private readonly client: JsonHttpClient;
    private readonly watches = new Set<EtcdWatch>();

    constructor(private readonly options: EtcdStoreOptions) {
        this.client = new JsonHttpClient({
            address: options.address,
            clock: options.clock,
            requestTimeoutMilliseconds: options.requestTimeoutMilliseconds
                ?? defaultRequestTimeoutMilliseconds,
        });
    }

    read(key: string): ResultAsync<StoreEntry | undefined, StoreError> {
        return this.callRead("/v3/kv/range", { key: encodeKey(key) }, parseRange)
            .map((entries) => entries[0]);
    }

    readPrefix(prefix: string): ResultAsync<readonly StoreEntry[], StoreError> {
        const key = prefix === "" ? Buffer.from([0]).toString("base64") : encodeKey(prefix);
        return this.callRead("/v3/kv/range", { key, range_end: encodePrefixEnd(prefix) }, parseRange);
    }

    compareAndSwap(
        key: string,
        expected: number,
        value: Uint8Array,
        lease?: string,
    ): ResultAsync<SwapOutcome, StoreError> {
        if (value.byteLength > maximumValueBytes) {
            const message =
                `value of key "${key}" has ${value.byteLength} bytes; the store accepts at most ${maximumValueBytes}`;
            return errAsync({ kind: "notApplied", message });
        }
        const put = { key: encodeKey(key), value: Buffer.from(value).toString("base64"), lease };
        return this.callWrite("/v3/kv/txn", swapBody(key, expected, { request_put: put }), parseSwap);
    }

    compareAndDelete(key: string, expected: number): ResultAsync<SwapOutcome, StoreError> {
        const operation = { request_delete_range: { key: encodeKey(key) } };
        return this.callWrite("/v3/kv/txn", swapBody(key, expected, operation), parseSwap);
    }

    grantLease(duration: Milliseconds): ResultAsync<string, StoreError> {
        const seconds = Math.max(1, Math.ceil(duration / millisecondsPerSecond));
        return this.callWrite("/v3/lease/grant", { TTL: String(seconds) }, parseGrant);
    }

    keepLeaseAlive(lease: string): ResultAsync<void, StoreError> {
        return this.callWrite("/v3/lease/keepalive", { ID: lease }, parseKeepAlive)
            .andThen((seconds) =>
                seconds > 0
                    ? ok(undefined)
                    : err<void, StoreError>({ kind: "notApplied", message: `lease "${lease}" has expired` })
            );
    }

    watch(key: string, onChange: (change: StoreChange) => void): CancelTimer {
        const watch = new EtcdWatch({
            key,
            client: this.client,
            clock: this.options.clock,
            renewMilliseconds: this.options.watchRenewMilliseconds ?? defaultWatchRenewMilliseconds,
            random: this.options.random ?? seededRandom(process.pid ^ Date.now()),
            logger: (this.options.logger ?? silentLogger).scope("watch"),
            read: () => this.read(key),
            onChange,
        });
        this.watches.add(watch);
        void watch.run();
        return () => {
            watch.cancel();
            this.watches.delete(watch);
        };
    }

    async close(): Promise<void> {
        for (const watch of this.watches) {
            watch.cancel();
        }
        this.watches.clear();
        await this.client.close();
    }

    private callRead<T>(
        path: string,
        body: JsonObject,
        parse: (answer: JsonObject) => Result<T, string>,
    ): ResultAsync<T, StoreError> {
        return this.client.callText({ method: "POST", path, body })
            .mapErr((failure) => failure.message)
            .andThen((text) => parseObject(text).andThen(parse))
            .mapErr((message): StoreError => ({ kind: "notApplied", message }));
    }

    private callWrite<T>(
        path: string,
        body: JsonObject,
        parse: (answer: JsonObject) => Result<T, string>,
    ): ResultAsync<T, StoreError> {
        return this.client.callText({ method: "POST", path, body })
            .mapErr(writeError)
            .andThen((text) =>
                parseObject(text).andThen(parse)
                    .mapErr((message): StoreError => ({ kind: "unknown", message }))
            );
    }
}

function writeError(failure: HttpFailure): StoreError {
    switch (failure.kind) {
        case "notSent":
            return { kind: "notApplied", message: failure.message };
        case "status":
            return { kind: isRefusal(failure.status) ? "notApplied" : "unknown", message: failure.message };
        case "noAnswer":
        case "tooLarge":
            return { kind: "unknown", message: failure.message };
    }
}

/** Returns whether a status means that the store did not run the call. After a timeout, it may have run the call. */
function isRefusal(status: number): boolean {
    return status >= statusBadRequest && status < statusServerError
        && status !== statusRequestTimeout && status !== statusClientClosed;
}

function parseGrant(answer: JsonObject): Result<string, string> {
    return typeof answer.ID === "string" && answer.ID !== "" ? ok(answer.ID) : err("lease ID is missing");
}

function parseKeepAlive(answer: JsonObject): Result<number, string> {
    return asObject(answer.result, "result").andThen((result) => asInteger(result.TTL, "result.TTL"));
}

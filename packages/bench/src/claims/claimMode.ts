/**
 * Ways to remember calls, behind one interface: the product's claims and this repository's own baseline of one store
 * record a call.
 *
 * @module
 */
import { type Claims, claimShardCount, createClaims } from "@redwingpin/claims";
import { type Clock, rendezvousOrder, silentLogger, sleep } from "@redwingpin/common";
import type { KeyValueStore, MemoryStore } from "@redwingpin/outside";
import { errAsync, ResultAsync } from "neverthrow";

/** A way to remember calls. */
export enum ClaimMode {
    /** Baseline: a record for each call, written at its begin and at its end. */
    RecordPerCall = "recordPerCall",
    /** Group commit; each router writes every shard that it needs. */
    EachRouterWrites = "eachRouterWrites",
    /** Group commit; a shard is written by one router, to which the others hand their calls. */
    OneWriterPerShard = "oneWriterPerShard",
}

/** One router as the experiment sees it. */
export interface CallRecorder {
    /** Resolves with the function that records the answer, or with `undefined` where the call was refused. */
    begin(idempotencyKey: string): Promise<((answer: Uint8Array) => void) | undefined>;
    /** Bytes that were sent to the store, and messages to other routers. */
    readonly sent: () => { readonly bytes: number; readonly messages: number; };
}

const networkLatency = 1;
const statusOk = 200;

/** Makes the routers of one case. */
export function makeRecorders(
    mode: ClaimMode,
    routers: number,
    clock: Clock,
    store: MemoryStore,
): CallRecorder[] {
    if (mode === ClaimMode.RecordPerCall) {
        return Array.from({ length: routers }, () => recordPerCall(store.client()));
    }
    const names = Array.from({ length: routers }, (_, index) => `router-${index}`);
    const writers = Array.from(
        { length: claimShardCount },
        (_, shard) => rendezvousOrder(`claims/${shard}`, names, (name) => name)[0],
    );
    const fleet = new Map<string, Claims>();
    return names.map((instance) => {
        let messages = 0;
        const peers = {
            writerOf: (shard: number) => writers[shard],
            ask: (target: string, message: unknown) => {
                messages++;
                const writer = fleet.get(target);
                return writer === undefined
                    ? errAsync("no such router")
                    : ResultAsync.fromSafePromise(
                        sleep(clock, networkLatency).then(() => writer.handle(message)),
                    );
            },
        };
        const claims = createClaims({
            clock,
            instance,
            incarnation: "1",
            store: store.client(),
            logger: silentLogger,
            peers: mode === ClaimMode.OneWriterPerShard ? peers : undefined,
        });
        fleet.set(instance, claims);
        return groupCommit(claims, () => messages);
    });
}

function groupCommit(claims: Claims, messages: () => number): CallRecorder {
    return {
        sent: () => ({ bytes: claims.statistics().bytes, messages: messages() }),
        async begin(idempotencyKey) {
            const call = { account: "bench", route: "stamps", idempotencyKey, method: "POST", path: "/" };
            const decision = await claims.begin({ ...call, body: Buffer.from(idempotencyKey) });
            return decision.kind === "run"
                ? (body) => claims.finish(decision.claim, { status: statusOk, headers: [], body })
                : undefined;
        },
    };
}

function recordPerCall(store: KeyValueStore): CallRecorder {
    let bytes = 0;
    return {
        sent: () => ({ bytes, messages: 0 }),
        async begin(idempotencyKey) {
            const claim = Buffer.from(idempotencyKey);
            bytes += claim.length;
            const swap = await store.compareAndSwap(`calls/${idempotencyKey}`, 0, claim);
            if (swap.isErr() || !swap.value.swapped) {
                return undefined;
            }
            const { modRevision } = swap.value;
            return (answer) => {
                bytes += answer.length;
                void store.compareAndSwap(`calls/${idempotencyKey}`, modRevision, answer);
            };
        },
    };
}

/**
 * Ways to record calls, behind one interface: the product's claims, and a baseline that writes one store record per
 * call.
 *
 * @module
 */
import { type Claims, claimShardCount, createClaims } from "@redwingpin/claims";
import { type Clock, rendezvousOrder, silentLogger, sleep } from "@redwingpin/common";
import type { KeyValueStore, MemoryStore } from "@redwingpin/outside";
import { errAsync, ResultAsync } from "neverthrow";

/** How calls are recorded in the store. */
export enum ClaimMode {
    /** Baseline: one record per call, written when the call begins and when it ends. */
    RecordPerCall = "recordPerCall",
    /** Group commit; each router writes all shards that its calls need. */
    EachRouterWrites = "eachRouterWrites",
    /** Group commit; one router writes a shard, and the others send their calls to it. */
    OneWriterPerShard = "oneWriterPerShard",
}

/** Records the calls of one router. */
export interface CallRecorder {
    /** Records a call. Resolves with a function that records its answer, or with `undefined` if it is refused. */
    begin(idempotencyKey: string): Promise<((answer: Uint8Array) => void) | undefined>;
    /** Bytes sent to the store and number of messages sent to other routers. */
    readonly sent: () => { readonly bytes: number; readonly messages: number; };
}

const networkLatency = 1;
const statusOk = 200;

/** Creates the recorder of each router of one case. */
export function createRecorders(
    mode: ClaimMode,
    routers: number,
    clock: Clock,
    store: MemoryStore,
): CallRecorder[] {
    if (mode === ClaimMode.RecordPerCall) {
        return Array.from({ length: routers }, () => createPerCallRecorder(store.client()));
    }
    const names = Array.from({ length: routers }, (_, index) => `router-${index}`);
    const writers = Array.from(
        { length: claimShardCount },
        (_, shard) => rendezvousOrder(`claims/${shard}`, names, (name) => name)[0],
    );
    const claimsByRouter = new Map<string, Claims>();
    return names.map((instance) => {
        let messageCount = 0;
        const peers = {
            writerOf: (shard: number) => writers[shard],
            ask: (target: string, message: unknown) => {
                messageCount++;
                const writer = claimsByRouter.get(target);
                return writer === undefined
                    ? errAsync("unknown router")
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
        claimsByRouter.set(instance, claims);
        return createGroupCommitRecorder(claims, () => messageCount);
    });
}

function createGroupCommitRecorder(claims: Claims, messages: () => number): CallRecorder {
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

function createPerCallRecorder(store: KeyValueStore): CallRecorder {
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

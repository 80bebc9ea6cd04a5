/**
 * Selects the router that writes each shard of the claims, and calls it over the inner protocol.
 *
 * @module
 */
import { type ClaimPeers, type ClaimRequest, claimShardCount, claimTimeout } from "@redwingpin/claims";
import { rendezvousOrder } from "@redwingpin/common";
import { type InnerAddress, type InnerNode, Topic } from "@redwingpin/protocol";
import { errAsync, type ResultAsync } from "neverthrow";

/** Options of {@link RouterClaimPeers}. */
export interface RouterClaimPeersOptions {
    /** Name of this instance. */
    readonly instance: string;
    readonly innerNode: InnerNode;
    /** Address of an instance; `undefined` if it is not a member. */
    readonly addressOf: (instance: string) => InnerAddress | undefined;
}

/** Time in which a shard's writer must answer; in the rest of the claim timeout this router can write the claim itself. */
const writerTimeout = claimTimeout / 4;

/** The other routers as writers of claim shards. */
export class RouterClaimPeers implements ClaimPeers {
    private routers: readonly string[] = [];
    private shardWriters: readonly string[] = [];

    constructor(private readonly options: RouterClaimPeersOptions) {}

    /** Sets the names of the other live routers, and selects the writers again if they have changed. */
    updateRouters(others: readonly string[]): void {
        const routers = [this.options.instance, ...others].sort();
        if (routers.join("\n") === this.routers.join("\n")) {
            return;
        }
        this.routers = routers;
        this.shardWriters = Array.from(
            { length: claimShardCount },
            (_, shard) => rendezvousOrder(`claims/${shard}`, routers, (name) => name)[0],
        );
    }

    writerOf(shard: number): string | undefined {
        return this.shardWriters[shard];
    }

    ask(instance: string, message: ClaimRequest): ResultAsync<unknown, string> {
        const address = this.options.addressOf(instance);
        return address === undefined
            ? errAsync(`instance "${instance}" is not a member`)
            : this.options.innerNode.call(address, Topic.Claims, message, writerTimeout)
                .mapErr((error) => error.message);
    }
}

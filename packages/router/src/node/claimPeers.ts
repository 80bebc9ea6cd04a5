/**
 * Which router writes each shard of the claims, and the calls to it over the inner protocol.
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
    /** The address of an instance. */
    readonly find: (instance: string) => InnerAddress | undefined;
}

/** Time for which a shard's writer is waited for before the claim is written here; the rest is left for that. */
const askTimeout = claimTimeout / 4;

/** The other routers as the claims see them. */
export class RouterClaimPeers implements ClaimPeers {
    private routers: readonly string[] = [];
    private writers: readonly string[] = [];

    constructor(private readonly options: RouterClaimPeersOptions) {}

    /** Takes in the names of the other routers that live; chooses the writers anew where they have changed. */
    update(others: readonly string[]): void {
        const routers = [this.options.instance, ...others].sort();
        if (routers.join("\n") === this.routers.join("\n")) {
            return;
        }
        this.routers = routers;
        this.writers = Array.from(
            { length: claimShardCount },
            (_, shard) => rendezvousOrder(`claims/${shard}`, routers, (name) => name)[0],
        );
    }

    writerOf(shard: number): string | undefined {
        return this.writers[shard];
    }

    ask(instance: string, message: ClaimRequest): ResultAsync<unknown, string> {
        const address = this.options.find(instance);
        return address === undefined
            ? errAsync(`instance "${instance}" is no member`)
            : this.options.innerNode.call(address, Topic.Claims, message, askTimeout)
                .mapErr((error) => error.message);
    }
}

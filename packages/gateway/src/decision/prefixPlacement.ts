/**
 * Estimates where the shared prefix of one request is cached, and from where an endpoint can fetch the missing part.
 *
 * After new weights become desired, no prefix has been processed with them. A prefix that is queued at one endpoint is
 * processed again at every other endpoint that gets a request for it meanwhile. All routers select the same owner for
 * such a prefix, so that its requests can be sent to one endpoint.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { PromptPart } from "../headerCodec.js";
import type { EndpointState } from "./endpointTable.js";
import { type PrefixIndex, prefixNames } from "./prefixIndex.js";
import { type LinkEnd, transferTime } from "./transferTime.js";

/** Processing a shared prefix below this size again is faster than fetching it. */
const minFetchedTokens = 512;

/** Tokens of a shared prefix that an endpoint has cached, and the source of the missing ones. */
export interface PrefixSource {
    /** Tokens that the endpoint should have cached. */
    readonly cached: number;
    /** Tokens that the endpoint can fetch. */
    readonly fetchable: number;
    /** Further tokens that the endpoint will probably have processed for another request, since it owns the prefix. */
    readonly likelyCached: number;
    /** Further tokens that it would process although the owner processes them, too. */
    readonly repeated: number;
    /** Time to fetch what it can fetch. */
    readonly fetchTime: Milliseconds;
    readonly source: LinkEnd | undefined;
}

/** Options of {@link PrefixPlacement}. */
export interface PrefixPlacementOptions {
    readonly prefixIndex: PrefixIndex;
    /** Endpoints of the request's service. */
    readonly endpointStates: () => readonly EndpointState[];
    readonly model: string;
    readonly parts: readonly PromptPart[];
    /** Cache scope of a version of the weights: a prefix is found only in the scope in which it was processed. */
    readonly scope: (version: number | undefined) => string;
    /** Capacity of the link of each endpoint; `undefined` if unknown. */
    readonly megabitsPerSecond: number | undefined;
    /** Size of a token in a cache. */
    readonly bytesPerToken: number;
}

/** Placement of one request's prefix, by version of the weights. */
export class PrefixPlacement {
    private readonly names = new Map<string, readonly string[]>();
    private readonly sharedTokens: number;
    /** Owner by version of the weights, computed at `ownersComputedAt`. */
    private readonly ownersByVersion = new Map<number | undefined, EndpointState | undefined>();
    private ownersComputedAt: Milliseconds | undefined;

    constructor(private readonly options: PrefixPlacementOptions) {
        this.sharedTokens = options.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    }

    /** Tokens that an endpoint does not have to process, and where it can fetch the missing ones. */
    sourceFor(endpointState: EndpointState, version: number | undefined, now: Milliseconds): PrefixSource {
        const { prefixIndex, parts } = this.options;
        const names = this.namesOf(version);
        const cached = prefixIndex.cachedTokens(endpointState.endpoint.instance, names, parts);
        if (this.sharedTokens < minFetchedTokens) {
            return { cached, fetchable: 0, likelyCached: 0, repeated: 0, fetchTime: 0, source: undefined };
        }
        const owner = this.ownerOf(version, now);
        const isOwner = owner === endpointState;
        const store = prefixIndex.storeOf(names);
        // Without a store, what an endpoint lacks is at the owner.
        const source = store ?? (isOwner || owner === undefined ? undefined : this.linkEndOf(owner));
        const held = store === undefined ? this.sharedTokens : prefixIndex.savedTokens(names, parts);
        const fetchable = source === undefined ? 0 : Math.max(0, held - cached);
        const missing = Math.max(0, this.sharedTokens - cached - fetchable);
        const fetchTime = source === undefined
            ? 0
            : transferTime(fetchable * this.options.bytesPerToken, source, this.linkEndOf(endpointState));
        return {
            cached,
            fetchable,
            likelyCached: isOwner ? missing : 0,
            repeated: isOwner ? 0 : missing,
            fetchTime,
            source,
        };
    }

    /** Cache store to which an endpoint should save the prefix; `undefined` if it is saved already or too small. */
    saveTo(version: number | undefined): string | undefined {
        const { prefixIndex, parts } = this.options;
        const names = this.namesOf(version);
        const isWorthSaving = this.sharedTokens >= minFetchedTokens
            && prefixIndex.savedTokens(names, parts) < this.sharedTokens;
        return isWorthSaving ? prefixIndex.storeOf(names)?.address : undefined;
    }

    /** Names of the nested prefixes in the scope of a version of the weights. */
    namesOf(version: number | undefined): readonly string[] {
        const scope = this.options.scope(version);
        let names = this.names.get(scope);
        if (names === undefined) {
            names = prefixNames(scope, this.options.parts);
            this.names.set(scope, names);
        }
        return names;
    }

    private linkEndOf({ endpoint }: EndpointState): LinkEnd {
        return {
            address: `${endpoint.host}:${endpoint.port}`,
            dataCentre: endpoint.dataCentre,
            megabitsPerSecond: this.options.megabitsPerSecond,
        };
    }

    /**
     * Owner of the shared prefix among the endpoints with the same weights. The selection of an endpoint needs the owner
     * once for each endpoint, so it is kept until the time changes.
     */
    private ownerOf(version: number | undefined, now: Milliseconds): EndpointState | undefined {
        if (this.ownersComputedAt !== now) {
            this.ownersComputedAt = now;
            this.ownersByVersion.clear();
        }
        if (!this.ownersByVersion.has(version)) {
            this.ownersByVersion.set(version, this.findOwner(version, now));
        }
        return this.ownersByVersion.get(version);
    }

    private findOwner(version: number | undefined, now: Milliseconds): EndpointState | undefined {
        const { prefixIndex, model, endpointStates } = this.options;
        const serving = endpointStates().filter((endpointState) =>
            !endpointState.isLeaving && !endpointState.isDown(now)
            && endpointState.weightsVersion(model, now) === version
        );
        const name = this.namesOf(version).at(-2);
        const owner = name === undefined
            ? undefined
            : prefixIndex.ownerOf(name, serving.map((endpointState) => endpointState.endpoint.instance));
        return serving.find((endpointState) => endpointState.endpoint.instance === owner);
    }
}

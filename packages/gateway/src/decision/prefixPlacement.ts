/**
 * Where the shared prefix of one request is believed to lie, and from where an endpoint can fetch what it lacks.
 *
 * After new weights are named nothing has been read with them, and a prefix that waits to be read at one endpoint is read
 * again at every other to which a request for it goes meanwhile. All routers work out the same home for such a prefix, so
 * that requests can meet there.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { PromptPart } from "../headerCodec.js";
import type { EndpointState } from "./endpointTable.js";
import { type PrefixIndex, prefixNames } from "./prefixIndex.js";

/** Shared prefixes below this size are read again faster than they are looked up elsewhere. */
const minFetchedTokens = 512;

/** What an endpoint holds of a shared prefix and where it may fetch the rest. */
export interface PrefixSource {
    /** Tokens that it is believed to hold. */
    readonly cached: number;
    /** Tokens that it can fetch. */
    readonly fetched: number;
    /** Further tokens that it is likely to have read for another request: it is the home of the prefix. */
    readonly hoped: number;
    readonly source: { readonly address: string; readonly isStore: boolean; } | undefined;
}

/** Options of {@link PrefixPlacement}. */
export interface PrefixPlacementOptions {
    readonly homes: PrefixIndex;
    /** Endpoints of the request's service. */
    readonly views: () => readonly EndpointState[];
    readonly model: string;
    readonly parts: readonly PromptPart[];
    /** Text under which prefixes read by weights of a version may be found. */
    readonly scope: (version: number | undefined) => string;
}

/** Knows where one request's prefix lies, for each version of the weights. */
export class PrefixPlacement {
    private readonly names = new Map<string, readonly string[]>();
    private readonly sharedTokens: number;
    /** Homes by version, worked out at `homesAt`. */
    private readonly homes = new Map<number | undefined, EndpointState | undefined>();
    private homesAt: Milliseconds | undefined;

    constructor(private readonly options: PrefixPlacementOptions) {
        this.sharedTokens = options.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    }

    /** What an endpoint need not read, and where it may fetch what it lacks. */
    sourceFor(view: EndpointState, version: number | undefined, now: Milliseconds): PrefixSource {
        const { homes, parts } = this.options;
        const names = this.namesOf(version);
        const cached = homes.heldTokens(view.endpoint.instance, names, parts);
        if (this.sharedTokens < minFetchedTokens) {
            return { cached, fetched: 0, hoped: 0, source: undefined };
        }
        const store = homes.storeOf(names);
        if (store === undefined) {
            return this.fetchFromHome(view, version, cached, now);
        }
        const fetched = Math.max(0, homes.savedTokens(names, parts) - cached);
        const missing = Math.max(0, this.sharedTokens - cached - fetched);
        const hoped = missing > 0 && this.homeOf(version, now) === view ? missing : 0;
        return { cached, fetched, hoped, source: { address: store, isStore: true } };
    }

    /** The cache store to which an endpoint should save the prefix; `undefined` where it lies there or is too small. */
    saveTo(version: number | undefined): string | undefined {
        const { homes, parts } = this.options;
        const names = this.namesOf(version);
        const isWorthSaving = this.sharedTokens >= minFetchedTokens
            && homes.savedTokens(names, parts) < this.sharedTokens;
        return isWorthSaving ? homes.storeOf(names) : undefined;
    }

    /** Names of the nested prefixes as weights of a version read them. */
    namesOf(version: number | undefined): readonly string[] {
        const scope = this.options.scope(version);
        let names = this.names.get(scope);
        if (names === undefined) {
            names = prefixNames(scope, this.options.parts);
            this.names.set(scope, names);
        }
        return names;
    }

    private fetchFromHome(
        view: EndpointState,
        version: number | undefined,
        cached: number,
        now: Milliseconds,
    ): PrefixSource {
        const home = this.homeOf(version, now);
        const missing = Math.max(0, this.sharedTokens - cached);
        if (home === view || home === undefined) {
            return { cached, fetched: 0, hoped: home === view ? missing : 0, source: undefined };
        }
        const address = `${home.endpoint.host}:${home.endpoint.port}`;
        return { cached, fetched: missing, hoped: 0, source: { address, isStore: false } };
    }

    /** The home of the shared prefix among the endpoints with the same weights; one choice asks for each of them. */
    private homeOf(version: number | undefined, now: Milliseconds): EndpointState | undefined {
        if (this.homesAt !== now) {
            this.homesAt = now;
            this.homes.clear();
        }
        if (!this.homes.has(version)) {
            this.homes.set(version, this.findHome(version, now));
        }
        return this.homes.get(version);
    }

    private findHome(version: number | undefined, now: Milliseconds): EndpointState | undefined {
        const { homes, model, views } = this.options;
        const serving = views().filter((view) =>
            !view.endpoint.leaving && !view.isDown(now) && view.weightsVersion(model, now) === version
        );
        const name = this.namesOf(version).at(-2);
        const home = name === undefined
            ? undefined
            : homes.ownerOf(name, serving.map((view) => view.endpoint.instance));
        return serving.find((view) => view.endpoint.instance === home);
    }
}

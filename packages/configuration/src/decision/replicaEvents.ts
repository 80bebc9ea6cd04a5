/**
 * What a configuration replica is told and what it asks for.
 *
 * @module
 */
import type { ManifestShard, ShardedManifest } from "@redwingpin/manifest";
import type { ConfigurationMessage } from "@redwingpin/protocol";
import type { RootRecord } from "../records.js";

/** A configuration that a replica may install. */
export interface ReplicaConfiguration {
    readonly revision: number;
    readonly manifest: ShardedManifest;
}

/** A router as the spread of configurations sees it. */
export interface SpreadPeer {
    readonly instance: string;
    readonly dataCentre: string;
}

/** An agent as the spread of configurations sees it. */
export interface SpreadAgent {
    readonly instance: string;
    /** True where this router alone keeps the agent up to date; others only compare revisions with it now and then. */
    readonly isHome: boolean;
}

/** Kinds of events. */
export enum ReplicaEventKind {
    Message = "message",
    RevisionObserved = "revisionObserved",
    PeersChanged = "peersChanged",
    RootRead = "rootRead",
    ContentLoaded = "contentLoaded",
    LoadFailed = "loadFailed",
    Tick = "tick",
}

/** What a replica is told. */
export type ReplicaEvent =
    | {
        readonly kind: ReplicaEventKind.Message;
        readonly from: string;
        readonly message: ConfigurationMessage;
    }
    /** A message on another subject carried the sender's revision. */
    | { readonly kind: ReplicaEventKind.RevisionObserved; readonly from: string; readonly revision: number; }
    | {
        readonly kind: ReplicaEventKind.PeersChanged;
        /** Live routers without this process. */
        readonly routers: readonly SpreadPeer[];
        /** Agents that this router is in touch with; empty at agents. */
        readonly agents: readonly SpreadAgent[];
    }
    | { readonly kind: ReplicaEventKind.RootRead; readonly root: RootRecord; }
    | { readonly kind: ReplicaEventKind.ContentLoaded; readonly configuration: ReplicaConfiguration; }
    | { readonly kind: ReplicaEventKind.LoadFailed; }
    | { readonly kind: ReplicaEventKind.Tick; };

/** Kinds of effects. */
export enum ReplicaEffectKind {
    Send = "send",
    ReadRoot = "readRoot",
    LoadContent = "loadContent",
    SetWatching = "setWatching",
    Install = "install",
}

/** What a replica asks for. */
export type ReplicaEffect =
    | { readonly kind: ReplicaEffectKind.Send; readonly to: string; readonly message: ConfigurationMessage; }
    | { readonly kind: ReplicaEffectKind.ReadRoot; }
    | {
        readonly kind: ReplicaEffectKind.LoadContent;
        readonly root: RootRecord;
        readonly known: ReadonlyMap<string, ManifestShard>;
    }
    | { readonly kind: ReplicaEffectKind.SetWatching; readonly watching: boolean; }
    | { readonly kind: ReplicaEffectKind.Install; readonly configuration: ReplicaConfiguration; };

/** Effects in order. */
export type ReplicaEffects = Generator<ReplicaEffect, void, void>;

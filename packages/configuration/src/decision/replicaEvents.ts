/**
 * Events and effects of a configuration replica.
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

/** A router with which configurations are exchanged. */
export interface RouterPeer {
    readonly instance: string;
    readonly dataCentre: string;
}

/** An agent to which configurations are sent. */
export interface AgentPeer {
    readonly instance: string;
    /** True if this router alone keeps the agent up to date; other routers only compare revisions with it at intervals. */
    readonly isOwned: boolean;
}

export enum ReplicaEventKind {
    Message = "message",
    RevisionObserved = "revisionObserved",
    PeersChanged = "peersChanged",
    RootRead = "rootRead",
    ContentLoaded = "contentLoaded",
    LoadFailed = "loadFailed",
    Tick = "tick",
}

/** An event that a replica processes. */
export type ReplicaEvent =
    | {
        readonly kind: ReplicaEventKind.Message;
        readonly from: string;
        readonly message: ConfigurationMessage;
    }
    /** A message on another topic carried the sender's revision. */
    | { readonly kind: ReplicaEventKind.RevisionObserved; readonly from: string; readonly revision: number; }
    | {
        readonly kind: ReplicaEventKind.PeersChanged;
        /** Live routers except this process. */
        readonly routers: readonly RouterPeer[];
        /** Agents that this router is connected to; empty at agents. */
        readonly agents: readonly AgentPeer[];
    }
    | { readonly kind: ReplicaEventKind.RootRead; readonly root: RootRecord; }
    | { readonly kind: ReplicaEventKind.ContentLoaded; readonly configuration: ReplicaConfiguration; }
    | { readonly kind: ReplicaEventKind.LoadFailed; }
    | { readonly kind: ReplicaEventKind.Tick; };

export enum ReplicaEffectKind {
    Send = "send",
    ReadRoot = "readRoot",
    LoadContent = "loadContent",
    SetWatching = "setWatching",
    Install = "install",
}

/** An effect that a replica requests. */
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

/** Yields effects in the order in which they must be performed. */
export type ReplicaEffects = Generator<ReplicaEffect, void, void>;

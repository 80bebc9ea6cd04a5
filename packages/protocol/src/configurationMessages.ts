/**
 * Messages on {@link Topic.Configuration}. They are sent without topic replies. Each is self-contained: it may be lost,
 * delayed or duplicated, and later exchanges repeat what was lost.
 *
 * @module
 */
import { isListOf, isNonNegativeInteger, isString, isTagged } from "@redwingpin/common";
import {
    isManifestChanges,
    isManifestItems,
    type ManifestChange,
    type ManifestItem,
} from "@redwingpin/manifest";

/** Kinds of messages on the configuration topic. */
export enum ConfigurationMessageKind {
    Announce = "announce",
    Ask = "ask",
    Update = "update",
    Outline = "outline",
    AskShards = "askShards",
    Shards = "shards",
    Busy = "busy",
}

/** Announces the sender's revision; 0 for none. */
export interface ConfigurationAnnounce {
    readonly kind: ConfigurationMessageKind.Announce;
    readonly revision: number;
}

/** Requests the changes since `revision`, the sender's own; 0 requests an outline of the whole configuration. */
export interface ConfigurationAsk {
    readonly kind: ConfigurationMessageKind.Ask;
    readonly revision: number;
}

/** The changes between two revisions. */
export interface ConfigurationUpdate {
    readonly kind: ConfigurationMessageKind.Update;
    /** Revision to which the changes apply. */
    readonly from: number;
    /** Revision that results from the changes. */
    readonly revision: number;
    readonly changes: readonly ManifestChange[];
    /** Number of shards of the manifest at `revision`. */
    readonly shardCount: number;
    /** Digest of the manifest at `revision`. */
    readonly digest: string;
}

/** The digests of all shards at the sender's revision. The receiver requests the shards that it lacks. */
export interface ConfigurationOutline {
    readonly kind: ConfigurationMessageKind.Outline;
    readonly revision: number;
    readonly shardDigests: readonly string[];
}

/** Requests shards of a revision that the receiver has announced in an outline. */
export interface ConfigurationAskShards {
    readonly kind: ConfigurationMessageKind.AskShards;
    readonly revision: number;
    /** Digests of the requested shards. */
    readonly digests: readonly string[];
}

/** The items of requested shards. The receiver computes the shards' digests itself. */
export interface ConfigurationShards {
    readonly kind: ConfigurationMessageKind.Shards;
    readonly revision: number;
    /** Items of each shard. */
    readonly shards: readonly (readonly ManifestItem[])[];
}

/** The sender serves no snapshots at the moment; the receiver is to request one from another peer. */
export interface ConfigurationBusy {
    readonly kind: ConfigurationMessageKind.Busy;
    readonly revision: number;
}

/** Every message on the configuration topic; `revision` is the sender's in all but {@link ConfigurationAskShards}. */
export type ConfigurationMessage =
    | ConfigurationAnnounce
    | ConfigurationAsk
    | ConfigurationUpdate
    | ConfigurationOutline
    | ConfigurationAskShards
    | ConfigurationShards
    | ConfigurationBusy;

const maximumShards = 65_536;
const digests = isListOf(isString, maximumShards);

const hasShape = isTagged("kind", {
    [ConfigurationMessageKind.Announce]: { revision: isNonNegativeInteger },
    [ConfigurationMessageKind.Ask]: { revision: isNonNegativeInteger },
    [ConfigurationMessageKind.Update]: {
        revision: isNonNegativeInteger,
        from: isNonNegativeInteger,
        changes: isManifestChanges,
        shardCount: isShardCount,
        digest: isString,
    },
    [ConfigurationMessageKind.Outline]: { revision: isNonNegativeInteger, shardDigests: isDigestList },
    [ConfigurationMessageKind.AskShards]: { revision: isNonNegativeInteger, digests },
    [ConfigurationMessageKind.Shards]: { revision: isNonNegativeInteger, shards: isListOf(isManifestItems) },
    [ConfigurationMessageKind.Busy]: { revision: isNonNegativeInteger },
});

function isShardCount(value: unknown): boolean {
    return isNonNegativeInteger(value) && (value as number) >= 1 && (value as number) <= maximumShards;
}

function isDigestList(value: unknown): boolean {
    return digests(value) && (value as readonly string[]).length > 0;
}

/** Whether the body of a topic message is a valid configuration message. */
export function isConfigurationMessage(value: unknown): value is ConfigurationMessage {
    return hasShape(value);
}

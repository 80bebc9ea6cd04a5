/**
 * Messages on {@link Topic.Configuration}. None is answered by a topic reply: each stands alone, may be lost, late or
 * doubled, and is sent again by the next contact.
 *
 * @module
 */
import { isCount, isListOf, isTagged, isText } from "@redwingpin/common";
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

/** States the sender's revision; 0 for none. */
export interface ConfigurationAnnounce {
    readonly kind: ConfigurationMessageKind.Announce;
    readonly revision: number;
}

/** Asks for what is newer than `revision`; 0 asks for an outline of everything. */
export interface ConfigurationAsk {
    readonly kind: ConfigurationMessageKind.Ask;
    readonly revision: number;
}

/** The changes between two revisions. */
export interface ConfigurationUpdate {
    readonly kind: ConfigurationMessageKind.Update;
    /** Revision to which the changes apply. */
    readonly from: number;
    /** Revision that they make. */
    readonly revision: number;
    readonly changes: readonly ManifestChange[];
    readonly shardCount: number;
    /** Digest of the manifest at `revision`. */
    readonly digest: string;
}

/** The digests of the shards at the sender's revision; the receiver asks for those that it lacks. */
export interface ConfigurationOutline {
    readonly kind: ConfigurationMessageKind.Outline;
    readonly revision: number;
    readonly shardDigests: readonly string[];
}

/** Asks for shards of a revision. */
export interface ConfigurationAskShards {
    readonly kind: ConfigurationMessageKind.AskShards;
    readonly revision: number;
    readonly digests: readonly string[];
}

/** Items of shards; the receiver computes their digests itself. */
export interface ConfigurationShards {
    readonly kind: ConfigurationMessageKind.Shards;
    readonly revision: number;
    readonly shards: readonly (readonly ManifestItem[])[];
}

/** The sender gives out no snapshots at the moment; the receiver asks another. */
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
const digests = isListOf(isText, maximumShards);

const hasShape = isTagged("kind", {
    [ConfigurationMessageKind.Announce]: { revision: isCount },
    [ConfigurationMessageKind.Ask]: { revision: isCount },
    [ConfigurationMessageKind.Update]: {
        revision: isCount,
        from: isCount,
        changes: isManifestChanges,
        shardCount: isShardCount,
        digest: isText,
    },
    [ConfigurationMessageKind.Outline]: { revision: isCount, shardDigests: isDigestList },
    [ConfigurationMessageKind.AskShards]: { revision: isCount, digests },
    [ConfigurationMessageKind.Shards]: { revision: isCount, shards: isListOf(isManifestItems) },
    [ConfigurationMessageKind.Busy]: { revision: isCount },
});

function isShardCount(value: unknown): boolean {
    return isCount(value) && (value as number) >= 1 && (value as number) <= maximumShards;
}

function isDigestList(value: unknown): boolean {
    return digests(value) && (value as readonly string[]).length > 0;
}

/** Tells whether the body of a topic message is a message of this topic. */
export function isConfigurationMessage(value: unknown): value is ConfigurationMessage {
    return hasShape(value);
}

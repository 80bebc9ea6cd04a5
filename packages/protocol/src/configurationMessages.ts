/**
 * Messages on {@link Topic.Configuration}. None is answered by a topic reply: each stands alone, may be lost, late or
 * doubled, and is sent again by the next contact.
 *
 * @module
 */
import {
    createSchemaGuard,
    type JsonSchema,
    type ManifestChange,
    manifestChangeSchema,
    type ManifestItem,
    manifestItemSchema,
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

const revision = { type: "integer", minimum: 0 };
const text = { type: "string", maxLength: 256 };
const maximumShards = 65_536;

function messageSchema(
    kind: ConfigurationMessageKind,
    fields: Readonly<Record<string, JsonSchema>>,
): JsonSchema {
    const properties: Readonly<Record<string, JsonSchema>> = { kind: { const: kind }, revision, ...fields };
    return { type: "object", required: Object.keys(properties), properties };
}

const digests = { type: "array", items: text, maxItems: maximumShards };

/** Tells whether the body of a topic message is a message of this topic. */
export const isConfigurationMessage = createSchemaGuard<ConfigurationMessage>({
    oneOf: [
        messageSchema(ConfigurationMessageKind.Announce, {}),
        messageSchema(ConfigurationMessageKind.Ask, {}),
        messageSchema(ConfigurationMessageKind.Update, {
            from: revision,
            changes: { type: "array", items: manifestChangeSchema },
            shardCount: { type: "integer", minimum: 1, maximum: maximumShards },
            digest: text,
        }),
        messageSchema(ConfigurationMessageKind.Outline, {
            shardDigests: { ...digests, minItems: 1 },
        }),
        messageSchema(ConfigurationMessageKind.AskShards, { digests }),
        messageSchema(ConfigurationMessageKind.Shards, {
            shards: { type: "array", items: { type: "array", items: manifestItemSchema } },
        }),
        messageSchema(ConfigurationMessageKind.Busy, {}),
    ],
});

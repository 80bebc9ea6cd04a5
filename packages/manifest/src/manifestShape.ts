/**
 * Shape checks of items and changes that come from the store or from other processes. Their contents were checked
 * against the schema when the manifest was submitted, and are identified by their digest. The shape checks protect a
 * process from values that were never part of a manifest.
 *
 * @module
 */
import {
    isAmount,
    isCount,
    isFlag,
    isListOf,
    isMemberOf,
    isOptional,
    isShaped,
    isTagged,
    isText,
    type ShapeCheck,
} from "@redwingpin/common";
import { EndpointKind, RouteKind, RoutePriority } from "./manifest.js";
import { ChangeKind, type ManifestChange, type ManifestItem, ManifestSection } from "./manifestChanges.js";

const accountKey = isShaped({ name: isText, digest: isText });

const items: Readonly<Record<ManifestSection, ShapeCheck>> = {
    [ManifestSection.Models]: isShaped({
        name: isText,
        versions: isListOf(isShaped({ name: isText, weights: isText, replicas: isCount })),
        adapters: isListOf(isText),
    }),
    [ManifestSection.Pools]: isShaped({
        name: isText,
        kind: isMemberOf(EndpointKind),
        model: isOptional(isText),
        checksSender: isFlag,
        checksFencing: isFlag,
    }),
    [ManifestSection.Accounts]: isShaped({
        name: isText,
        tokensPerSecond: isAmount,
        burstTokens: isAmount,
        keys: isListOf(accountKey),
    }),
    [ManifestSection.Routes]: isShaped({
        name: isText,
        kind: isMemberOf(RouteKind),
        access: isShaped({ open: isFlag, accounts: isOptional(isListOf(isText)) }),
        priority: isMemberOf(RoutePriority),
        pool: isText,
        idempotent: isFlag,
        model: isOptional(isText),
        version: isOptional(isText),
        adapter: isOptional(isText),
        callTokens: isOptional(isAmount),
    }),
};

const item = isTagged("section", {
    [ManifestSection.Models]: { item: items.models },
    [ManifestSection.Pools]: { item: items.pools },
    [ManifestSection.Accounts]: { item: items.accounts },
    [ManifestSection.Routes]: { item: items.routes },
});

const change = isTagged("kind", {
    [ChangeKind.Put]: { entry: item },
    [ChangeKind.Remove]: { section: isMemberOf(ManifestSection), name: isText },
    [ChangeKind.PutKey]: { account: isText, key: accountKey },
    [ChangeKind.RemoveKey]: { account: isText, keyName: isText },
    [ChangeKind.SetRate]: { account: isText, tokensPerSecond: isAmount, burstTokens: isAmount },
});

const changes = isListOf(change);
const itemList = isListOf(item);

/** Returns whether a value from another process is a list of changes. */
export function isManifestChanges(value: unknown): value is readonly ManifestChange[] {
    return changes(value);
}

/** Returns whether a value from the store or another process is a list of items. */
export function isManifestItems(value: unknown): value is readonly ManifestItem[] {
    return itemList(value);
}

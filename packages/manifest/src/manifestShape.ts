/**
 * Shape checks of items and changes that come from the store or from other processes. Their contents were checked
 * against the schema when the manifest was submitted, and are identified by their digest. The shape checks protect a
 * process from values that were never part of a manifest.
 *
 * @module
 */
import {
    isBoolean,
    isListOf,
    isMemberOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isOptional,
    isShaped,
    isString,
    isTagged,
    type ShapeCheck,
} from "@redwingpin/common";
import { EndpointKind, RouteKind, RoutePriority } from "./manifest.js";
import { ChangeKind, type ManifestChange, type ManifestItem, ManifestSection } from "./manifestChanges.js";

const accountKey = isShaped({ name: isString, digest: isString });

const items: Readonly<Record<ManifestSection, ShapeCheck>> = {
    [ManifestSection.Models]: isShaped({
        name: isString,
        versions: isListOf(isShaped({ name: isString, weights: isString, replicas: isNonNegativeInteger })),
        adapters: isListOf(isString),
    }),
    [ManifestSection.Pools]: isShaped({
        name: isString,
        kind: isMemberOf(EndpointKind),
        model: isOptional(isString),
        checksSender: isBoolean,
        checksFencing: isBoolean,
    }),
    [ManifestSection.Accounts]: isShaped({
        name: isString,
        tokensPerSecond: isNonNegativeNumber,
        burstTokens: isNonNegativeNumber,
        keys: isListOf(accountKey),
    }),
    [ManifestSection.Routes]: isShaped({
        name: isString,
        kind: isMemberOf(RouteKind),
        access: isShaped({ open: isBoolean, accounts: isOptional(isListOf(isString)) }),
        priority: isMemberOf(RoutePriority),
        pool: isString,
        idempotent: isBoolean,
        model: isOptional(isString),
        version: isOptional(isString),
        adapter: isOptional(isString),
        callTokens: isOptional(isNonNegativeNumber),
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
    [ChangeKind.Remove]: { section: isMemberOf(ManifestSection), name: isString },
    [ChangeKind.PutKey]: { account: isString, key: accountKey },
    [ChangeKind.RemoveKey]: { account: isString, keyName: isString },
    [ChangeKind.SetRate]: {
        account: isString,
        tokensPerSecond: isNonNegativeNumber,
        burstTokens: isNonNegativeNumber,
    },
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

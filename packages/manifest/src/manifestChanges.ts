/**
 * Changes to manifests: computes and applies them, so that a few hundred bytes are sent instead of a whole manifest.
 *
 * @module
 */
import type { AccountKey, ClientAccount, EndpointPool, Manifest, Model, Route } from "./manifest.js";

/** The lists of a manifest. */
export enum ManifestSection {
    Models = "models",
    Pools = "pools",
    Accounts = "accounts",
    Routes = "routes",
}

/** One item of a manifest with its section. */
export type ManifestItem =
    | { readonly section: ManifestSection.Models; readonly item: Model; }
    | { readonly section: ManifestSection.Pools; readonly item: EndpointPool; }
    | { readonly section: ManifestSection.Accounts; readonly item: ClientAccount; }
    | { readonly section: ManifestSection.Routes; readonly item: Route; };

/** Kinds of changes to a manifest. */
export enum ChangeKind {
    Put = "put",
    Remove = "remove",
    PutKey = "putKey",
    RemoveKey = "removeKey",
    SetRate = "setRate",
}

/** One change to a manifest. Changes are applied in order. */
export type ManifestChange =
    /** Adds an item, or replaces the item of the same name. */
    | { readonly kind: ChangeKind.Put; readonly entry: ManifestItem; }
    | { readonly kind: ChangeKind.Remove; readonly section: ManifestSection; readonly name: string; }
    /** Adds a key at the end of an account's keys. */
    | { readonly kind: ChangeKind.PutKey; readonly account: string; readonly key: AccountKey; }
    | { readonly kind: ChangeKind.RemoveKey; readonly account: string; readonly keyName: string; }
    | {
        readonly kind: ChangeKind.SetRate;
        readonly account: string;
        readonly tokensPerSecond: number;
        readonly burstTokens: number;
    };

/** Returns every item of a manifest, section by section. */
export function itemsOf(manifest: Manifest): ManifestItem[] {
    return [
        ...manifest.models.map((item) => ({ section: ManifestSection.Models as const, item })),
        ...manifest.pools.map((item) => ({ section: ManifestSection.Pools as const, item })),
        ...manifest.accounts.map((item) => ({ section: ManifestSection.Accounts as const, item })),
        ...manifest.routes.map((item) => ({ section: ManifestSection.Routes as const, item })),
    ];
}

/** Returns the identity of an item within a manifest. */
export function itemKey(section: ManifestSection, itemName: string): string {
    return `${section}/${itemName}`;
}

/** Returns JSON with the fields of every object in alphabetical order, so that equal values have equal texts. */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, part: unknown) => {
        if (typeof part !== "object" || !part || Array.isArray(part)) {
            return part;
        }
        const fields = Object.entries(part).filter(([, field]) => field !== undefined);
        return Object.fromEntries(fields.sort(([left], [right]) => left < right ? -1 : 1));
    });
}

/** Returns the changes that turn `before` into `after`; none if both hold the same items. */
export function diffManifest(before: Manifest, after: Manifest): ManifestChange[] {
    return diffItems(itemsOf(before), itemsOf(after));
}

/** Returns the changes that turn one set of items into another. */
export function diffItems(
    before: readonly ManifestItem[],
    after: readonly ManifestItem[],
): ManifestChange[] {
    const remaining = new Map(before.map((entry) => [itemKey(entry.section, entry.item.name), entry]));
    const changes: ManifestChange[] = [];
    for (const entry of after) {
        const key = itemKey(entry.section, entry.item.name);
        changes.push(...diffItem(remaining.get(key), entry));
        remaining.delete(key);
    }
    for (const { section, item } of remaining.values()) {
        changes.push({ kind: ChangeKind.Remove, section, name: item.name });
    }
    return changes;
}

function diffItem(before: ManifestItem | undefined, after: ManifestItem): ManifestChange[] {
    if (before !== undefined && canonicalJson(before) === canonicalJson(after)) {
        return [];
    }
    if (before?.section === ManifestSection.Accounts && after.section === ManifestSection.Accounts) {
        const accountChanges = diffAccount(before.item, after.item);
        if (accountChanges !== undefined) {
            return accountChanges;
        }
    }
    return [{ kind: ChangeKind.Put, entry: after }];
}

/**
 * Returns the changes to an account's rate and keys. Returns `undefined` if replacing the whole account is smaller, or
 * if the changes would leave its keys in another order.
 */
function diffAccount(before: ClientAccount, after: ClientAccount): ManifestChange[] | undefined {
    const changes: ManifestChange[] = [];
    const { name: account, tokensPerSecond, burstTokens } = after;
    if (before.tokensPerSecond !== tokensPerSecond || before.burstTokens !== burstTokens) {
        changes.push({ kind: ChangeKind.SetRate, account, tokensPerSecond, burstTokens });
    }
    for (const key of before.keys) {
        if (!after.keys.some((other) => isSameKey(key, other))) {
            changes.push({ kind: ChangeKind.RemoveKey, account, keyName: key.name });
        }
    }
    for (const key of after.keys) {
        if (!before.keys.some((other) => isSameKey(key, other))) {
            changes.push({ kind: ChangeKind.PutKey, account, key });
        }
    }
    const result = changes.reduce<ClientAccount>(changeAccount, before);
    const isExact = canonicalJson(result) === canonicalJson(after);
    return isExact && changes.length <= after.keys.length + 1 ? changes : undefined;
}

function isSameKey(left: AccountKey, right: AccountKey): boolean {
    return left.name === right.name && left.digest === right.digest;
}

function changeAccount(account: ClientAccount, change: ManifestChange): ClientAccount {
    switch (change.kind) {
        case ChangeKind.PutKey:
            return { ...account, keys: [...account.keys, change.key] };
        case ChangeKind.RemoveKey:
            return { ...account, keys: account.keys.filter((key) => key.name !== change.keyName) };
        case ChangeKind.SetRate:
            return {
                ...account,
                tokensPerSecond: change.tokensPerSecond,
                burstTokens: change.burstTokens,
            };
        case ChangeKind.Put:
        case ChangeKind.Remove:
            return account;
    }
}

/** Returns the identity of the item that a change affects. */
export function changedKey(change: ManifestChange): string {
    switch (change.kind) {
        case ChangeKind.Put:
            return itemKey(change.entry.section, change.entry.item.name);
        case ChangeKind.Remove:
            return itemKey(change.section, change.name);
        case ChangeKind.PutKey:
        case ChangeKind.RemoveKey:
        case ChangeKind.SetRate:
            return itemKey(ManifestSection.Accounts, change.account);
    }
}

/** Returns the item after a change, or `undefined` if it is removed or the account to change does not exist. */
export function changeItem(
    before: ManifestItem | undefined,
    change: ManifestChange,
): ManifestItem | undefined {
    switch (change.kind) {
        case ChangeKind.Put:
            return change.entry;
        case ChangeKind.Remove:
            return undefined;
        case ChangeKind.PutKey:
        case ChangeKind.RemoveKey:
        case ChangeKind.SetRate:
            return before?.section === ManifestSection.Accounts
                ? { section: ManifestSection.Accounts, item: changeAccount(before.item, change) }
                : undefined;
    }
}

/** Applies changes in order. The lists of the result are sorted by name. */
export function applyChanges(manifest: Manifest, changes: readonly ManifestChange[]): Manifest {
    const items = new Map(itemsOf(manifest).map((entry) => [itemKey(entry.section, entry.item.name), entry]));
    for (const change of changes) {
        const key = changedKey(change);
        const item = changeItem(items.get(key), change);
        if (item === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, item);
        }
    }
    return manifestOf(items.values());
}

/** Creates a manifest of the given items, with each list sorted by name. */
export function manifestOf(items: Iterable<ManifestItem>): Manifest {
    const models: Model[] = [];
    const pools: EndpointPool[] = [];
    const accounts: ClientAccount[] = [];
    const routes: Route[] = [];
    for (const entry of items) {
        switch (entry.section) {
            case ManifestSection.Models:
                models.push(entry.item);
                break;
            case ManifestSection.Pools:
                pools.push(entry.item);
                break;
            case ManifestSection.Accounts:
                accounts.push(entry.item);
                break;
            case ManifestSection.Routes:
                routes.push(entry.item);
                break;
        }
    }
    return {
        models: sortByName(models),
        pools: sortByName(pools),
        accounts: sortByName(accounts),
        routes: sortByName(routes),
    };
}

function sortByName<T extends { readonly name: string; }>(items: T[]): T[] {
    return items.sort((left, right) => left.name < right.name ? -1 : 1);
}

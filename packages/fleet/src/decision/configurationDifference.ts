/**
 * Differences between two configurations of direct routes, by route, service, account and limit. Keys of accounts are compared
 * by digest, and only their number is reported.
 *
 * @module
 */
import type { DirectConfiguration } from "../directConfiguration.js";

export enum ChangeKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** A field with different values; a value is `undefined` if the field is absent. */
export interface FieldChange {
    /** Path of fields below the item, for example `engine.slots`. */
    readonly field: string;
    readonly before: unknown;
    readonly after: unknown;
}

/** Changes to the keys of an account. */
export interface KeyChange {
    readonly added: number;
    readonly removed: number;
}

/** A route, service, account or limit that differs. */
export interface ItemDifference {
    readonly list: "routes" | "services" | "accounts" | "limits";
    /** Name of the item, or of the limit. */
    readonly name: string;
    readonly change: ChangeKind;
    /** Empty unless the item was changed. */
    readonly fields: readonly FieldChange[];
    /** Present if keys of an account were added or removed. */
    readonly keys?: KeyChange;
}

/** Returns the items of `after` that differ from `before`. The order of entries and the version are not compared. */
export function configurationDifferences(
    before: DirectConfiguration,
    after: DirectConfiguration,
): ItemDifference[] {
    return [
        ...listDifferences("routes", before.routes, after.routes),
        ...listDifferences("services", before.services, after.services),
        ...listDifferences("accounts", before.accounts, after.accounts),
        ...fieldChanges(before.limits, after.limits).map((change): ItemDifference => ({
            list: "limits",
            name: change.field,
            change: ChangeKind.Changed,
            fields: [change],
        })),
    ];
}

interface NamedItem {
    readonly name: string;
    readonly keyDigests?: readonly string[];
}

function listDifferences(
    list: ItemDifference["list"],
    before: readonly NamedItem[],
    after: readonly NamedItem[],
): ItemDifference[] {
    const oldItems = new Map(before.map((item) => [item.name, item]));
    const newNames = new Set(after.map(({ name }) => name));
    const removed = before.filter(({ name }) => !newNames.has(name)).map(({ name }): ItemDifference => ({
        list,
        name,
        change: ChangeKind.Removed,
        fields: [],
    }));
    const others = after.flatMap((item): ItemDifference[] => {
        const old = oldItems.get(item.name);
        if (old === undefined) {
            return [{ list, name: item.name, change: ChangeKind.Added, fields: [] }];
        }
        const keys = keyChange(old.keyDigests ?? [], item.keyDigests ?? []);
        const fields = fieldChanges({ ...old, keyDigests: undefined }, { ...item, keyDigests: undefined });
        return fields.length === 0 && keys === undefined
            ? []
            : [{ list, name: item.name, change: ChangeKind.Changed, fields, ...(keys && { keys }) }];
    });
    return [...removed, ...others];
}

function keyChange(before: readonly string[], after: readonly string[]): KeyChange | undefined {
    const oldKeys = new Set(before);
    const newKeys = new Set(after);
    const added = [...newKeys].filter((digest) => !oldKeys.has(digest)).length;
    const removed = [...oldKeys].filter((digest) => !newKeys.has(digest)).length;
    return added + removed === 0 ? undefined : { added, removed };
}

/** Compares objects field by field, and lists as a whole. */
function fieldChanges(before: object, after: object, path = ""): FieldChange[] {
    const oldFields = new Map<string, unknown>(Object.entries(before));
    const newFields = new Map<string, unknown>(Object.entries(after));
    return [...new Set([...oldFields.keys(), ...newFields.keys()])].flatMap((name): FieldChange[] => {
        const oldValue = oldFields.get(name);
        const newValue = newFields.get(name);
        if (isPlainObject(oldValue) && isPlainObject(newValue)) {
            return fieldChanges(oldValue, newValue, `${path}${name}.`);
        }
        return JSON.stringify(oldValue) === JSON.stringify(newValue)
            ? []
            : [{ field: `${path}${name}`, before: oldValue, after: newValue }];
    });
}

function isPlainObject(value: unknown): value is object {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

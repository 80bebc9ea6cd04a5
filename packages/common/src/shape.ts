/**
 * Checks of the shape of values from other processes. They need no compilation, so a process that starts pays nothing
 * for the messages that it does not receive.
 *
 * @module
 */

/** Tells whether a value has a shape. */
export type ShapeCheck = (value: unknown) => boolean;

/** Checks by field. Fields that are not named are left alone. */
export type Shape = Readonly<Record<string, ShapeCheck>>;

export const isText: ShapeCheck = (value) => typeof value === "string";
export const isCount: ShapeCheck = (value) => Number.isSafeInteger(value) && (value as number) >= 0;
export const isAmount: ShapeCheck = (value) =>
    typeof value === "number" && Number.isFinite(value) && value >= 0;
export const isFlag: ShapeCheck = (value) => typeof value === "boolean";

/** A value that may be absent. */
export function isOptional(check: ShapeCheck): ShapeCheck {
    return (value) => value === undefined || check(value);
}

/** A list of values of one shape, not longer than `maximum`. */
export function isListOf(check: ShapeCheck, maximum = Infinity): ShapeCheck {
    return (value) => Array.isArray(value) && value.length <= maximum && value.every(check);
}

/** A member of an enumeration. */
export function isMemberOf(members: object): ShapeCheck {
    const values = new Set<unknown>(Object.values(members));
    return (value) => values.has(value);
}

/** An object with these fields. */
export function isShaped(shape: Shape): ShapeCheck {
    return (value) => missingField(shape, value) === undefined;
}

/** An object whose field `tag` chooses the shape. */
export function isTagged(tag: string, shapes: Readonly<Record<string, Shape>>): ShapeCheck {
    return (value) => {
        const kind = fieldsOf(value)?.[tag];
        return typeof kind === "string" && Object.hasOwn(shapes, kind) && isShaped(shapes[kind])(value);
    };
}

/** The first field that is missing or malformed; `(all)` where the value is no object. */
export function missingField(shape: Shape, value: unknown): string | undefined {
    const fields = fieldsOf(value);
    return fields === undefined
        ? "(all)"
        : Object.keys(shape).find((field) => !shape[field](fields[field]));
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> | undefined {
    return typeof value === "object" && value ? value as Readonly<Record<string, unknown>> : undefined;
}

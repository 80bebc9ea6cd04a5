/**
 * Checks of the shape of values from other processes. Unlike schemas, the checks need no compilation, so a starting
 * process spends no time on messages that it never receives.
 *
 * @module
 */

/** Returns whether a value has a shape. */
export type ShapeCheck = (value: unknown) => boolean;

/** Checks of an object's fields. Other fields are not checked. */
export type Shape = Readonly<Record<string, ShapeCheck>>;

export const isString: ShapeCheck = (value) => typeof value === "string";
export const isNonNegativeInteger: ShapeCheck = (value) =>
    Number.isSafeInteger(value) && (value as number) >= 0;
export const isNonNegativeNumber: ShapeCheck = (value) =>
    typeof value === "number" && Number.isFinite(value) && value >= 0;
export const isPositiveNumber: ShapeCheck = (value) => isNonNegativeNumber(value) && value !== 0;
export const isBoolean: ShapeCheck = (value) => typeof value === "boolean";

/** Accepts `undefined` and what `check` accepts. */
export function isOptional(check: ShapeCheck): ShapeCheck {
    return (value) => value === undefined || check(value);
}

/** Accepts a list of at most `maximum` values that `check` accepts. */
export function isListOf(check: ShapeCheck, maximum = Infinity): ShapeCheck {
    return (value) => Array.isArray(value) && value.length <= maximum && value.every(check);
}

/** Accepts the values of an enumeration. */
export function isMemberOf(members: object): ShapeCheck {
    const values = new Set<unknown>(Object.values(members));
    return (value) => values.has(value);
}

/** Accepts an object whose fields match `shape`. */
export function isShaped(shape: Shape): ShapeCheck {
    return (value) => findInvalidField(shape, value) === undefined;
}

/** Accepts an object that matches the shape which its field `tag` selects. */
export function isTagged(tag: string, shapes: Readonly<Record<string, Shape>>): ShapeCheck {
    return (value) => {
        const kind = fieldsOf(value)?.[tag];
        return typeof kind === "string" && Object.hasOwn(shapes, kind) && isShaped(shapes[kind])(value);
    };
}

/** Returns the first field that is missing or malformed, or `(all)` if the value is not an object. */
export function findInvalidField(shape: Shape, value: unknown): string | undefined {
    const fields = fieldsOf(value);
    return fields === undefined
        ? "(all)"
        : Object.keys(shape).find((field) => !shape[field](fields[field]));
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> | undefined {
    return typeof value === "object" && value ? value as Readonly<Record<string, unknown>> : undefined;
}

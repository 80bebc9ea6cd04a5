/**
 * Public items of this package.
 *
 * @module
 */
export {};

/**
 * This package is a command and exports nothing.
 *
 * @module
 */
export {};

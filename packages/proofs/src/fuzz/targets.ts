/**
 * Every fuzz target, in order of name.
 *
 * @module
 */
import type { FuzzTarget } from "./fuzzTarget.js";

export const fuzzTargets: readonly FuzzTarget[] = [];

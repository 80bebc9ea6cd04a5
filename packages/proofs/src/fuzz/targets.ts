/**
 * Every fuzz target, in order of name.
 *
 * @module
 */
import { claimsTarget } from "./claimsTarget.js";
import type { FuzzTarget } from "./fuzzTarget.js";
import { ordersTarget } from "./ordersTarget.js";
import { ratesTarget } from "./ratesTarget.js";

export const fuzzTargets: readonly FuzzTarget[] = [
    claimsTarget,
    ordersTarget,
    ratesTarget,
];

/**
 * Periods and limits of membership. Each process sends the same number of messages a second however large the fleet.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time between two pings of a router to another router, and to an agent that it looks after. */
export const probePeriod: Milliseconds = 1_000;

/** Time within which a pinged member must answer before others are asked to ping it. */
export const directTimeout: Milliseconds = 400;

/** Time within which one of the others must have reached it. */
export const indirectTimeout: Milliseconds = 900;

/** Members that are asked to ping one that gave no answer. */
export const indirectProbes = 3;

/** Shortest time from suspicion to death; grows with the logarithm of the fleet. */
export const suspicionTime: Milliseconds = 3_000;

/** Time for which a dead member that left the list is remembered, so that late news do not bring it back. */
export const tombstoneTime: Milliseconds = 60_000;

/** Time between two pings to a dead member that the list still shows, or that may come back. */
export const deadProbePeriod: Milliseconds = 1_000;

/** News that ride on one message at most. */
export const updatesPerMessage = 8;

/** Times that a piece of news is sent, multiplied by the binary logarithm of the number of routers. */
export const updateRepeats = 3;

/** Shortest time between two reads of the VM list. */
export const listPeriod: Milliseconds = 1_000;

/** Reads of the VM list become rarer with its length, so that a router reads this many entries a second at most. */
export const listEntriesPerSecond = 10;

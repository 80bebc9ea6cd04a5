/**
 * Intervals and limits of membership. Each process sends the same number of messages per second, regardless of the
 * size of the fleet.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** A router pings one other router and one of the agents that it owns in each period of this length. */
export const probePeriod: Milliseconds = 1_000;

/** If a pinged member does not answer within this time, other routers are asked to ping it. */
export const directTimeout: Milliseconds = 400;

/** Time within which another router must report that the member answered. */
export const indirectTimeout: Milliseconds = 900;

/** Number of routers that are asked to ping a member that did not answer. */
export const indirectProbes = 3;

/**
 * Minimum time from suspicion until a member is declared dead. In a fleet of more than ten members, it is multiplied
 * by the decimal logarithm of their number.
 */
export const suspicionTime: Milliseconds = 3_000;

/** Time for which a dead member that left the VM list is remembered, so that late updates do not revive it. */
export const tombstoneTime: Milliseconds = 60_000;

/** Time between two pings to dead members, which may still be on the VM list or may come back. */
export const deadProbePeriod: Milliseconds = 1_000;

/** Maximum number of updates that are included in one message. */
export const updatesPerMessage = 8;

/** Number of times that an update is sent, to be multiplied by the binary logarithm of the number of routers. */
export const updateRepeats = 3;

/** Minimum interval between two reads of the VM list; random variation shortens an interval by up to half. */
export const listPeriod: Milliseconds = 1_000;

/** A router reads a long VM list less often, so that it reads at most about this many entries per second. */
export const listEntriesPerSecond = 10;

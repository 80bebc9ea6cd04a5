/**
 * Constants of the claims.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/**
 * Shards over which claims are spread. A constant and no setting: processes that disagreed on it would look for the
 * same call in different shards and run it twice.
 */
export const claimShardCount = 16;

/** Slots of each shard's ring, at least three; a constant for the same reason. */
export const claimRingSlots = 512;

/** Size in bytes from which a segment is closed. */
export const segmentCloseBytes = 32 * 1024;

/** Bytes of records that one write adds at most; with the size above a value stays below a megabyte. */
export const maximumBatchBytes = 512 * 1024;

/** Bytes of an answer's body and headers that are kept for replay. */
export const maximumAnswerBytes = 16 * 1024;

/** Least time between two writes of one shard by one process. */
export const minimumCommitInterval: Milliseconds = 50;

/** Time that a call waits for its claim to be committed before it is refused. */
export const claimTimeout: Milliseconds = 2_000;

/** Time from the commit of a claim within which its call must be dispatched. */
export const dispatchWindow: Milliseconds = 5_000;

/** Least time for which a claim is remembered; a ring full of younger ones refuses new calls. */
export const minimumRetention: Milliseconds = 600_000;

/** Longest time for which a claim without an outcome is taken for a call that still runs. */
export const maximumCallDuration: Milliseconds = 120_000;

/** First wait after a failed call to the store; it doubles up to {@link maximumStoreBackoff}. */
export const minimumStoreBackoff: Milliseconds = 25;

/** Longest wait after a failed call to the store. */
export const maximumStoreBackoff: Milliseconds = 1_000;

/** Failed calls to the store in a row after which waiting calls are refused at once. */
export const failuresBeforeRefusal = 3;

/** Outcomes that a shard's writer keeps for the store while it cannot be reached. */
export const maximumPendingOutcomes = 10_000;

/** Duration of the lease of the router that leads the orders. */
export const leaderLeaseDuration: Milliseconds = 10_000;

/** Time between two rounds of the router that leads the orders. */
export const orderRoundInterval: Milliseconds = 1_000;

/** Time after its last crash for which a request is suspect or quarantined. */
export const quarantineDuration: Milliseconds = 600_000;

/** Crashes after which a request is quarantined. */
export const crashesBeforeQuarantine = 2;

/** Suspects that are remembered at most; a record of that many stays below a megabyte. */
export const maximumSuspects = 3_000;

/** Time between two looks of a router at the suspects in the store. */
export const quarantineReadInterval: Milliseconds = 60_000;

/** Attempts to write suspects to the store. */
export const quarantineWriteAttempts = 20;

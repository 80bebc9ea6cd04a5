/**
 * Limits, intervals and timeouts of claims, orders and the quarantine.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/**
 * Number of shards over which claims are spread. It is a constant instead of a setting because processes with different
 * values would look for the same call in different shards and run it twice.
 */
export const claimShardCount = 16;

/** Number of slots in each shard's ring, at least three. It is a constant for the same reason. */
export const claimRingSlots = 512;

/** A segment of this size, in bytes, or more is closed. */
export const segmentCloseBytes = 32 * 1024;

/** Maximum size of the records that one write adds. With {@link segmentCloseBytes}, a value stays below a megabyte. */
export const maximumBatchBytes = 512 * 1024;

/** Maximum size of an answer, body and headers together, that is stored for replay. */
export const maximumAnswerBytes = 16 * 1024;

/** Minimum time between two writes of one shard by one process. */
export const minimumCommitInterval: Milliseconds = 50;

/** A call whose claim is not committed within this time is refused. */
export const claimTimeout: Milliseconds = 2_000;

/** A call must be dispatched within this time, counted from before its claim was committed. */
export const dispatchWindow: Milliseconds = 5_000;

/** Minimum time for which a claim is stored. A shard whose ring is full of younger claims refuses new calls. */
export const minimumRetention: Milliseconds = 600_000;

/** A call whose claim has no outcome is assumed to be running for at most this time. */
export const maximumCallDuration: Milliseconds = 120_000;

/**
 * Base of the backoff after failed calls to the store: it is doubled for each consecutive failure, the first included,
 * up to {@link maximumStoreBackoff}.
 */
export const minimumStoreBackoff: Milliseconds = 25;

/** Maximum backoff after a failed call to the store. */
export const maximumStoreBackoff: Milliseconds = 1_000;

/** Number of consecutive failed calls to the store after which waiting calls are refused immediately. */
export const failuresBeforeRefusal = 3;

/** Maximum number of outcomes that a shard's writer buffers while the store is unreachable. */
export const maximumPendingOutcomes = 10_000;

/** Duration of the order leader's lease. */
export const leaderLeaseDuration: Milliseconds = 10_000;

/** Time between two rounds of the order leader. */
export const orderRoundInterval: Milliseconds = 1_000;

/** A request stays suspect or quarantined for this time after its last crash. */
export const quarantineDuration: Milliseconds = 600_000;

/** Number of crashes after which a request is quarantined. */
export const crashesBeforeQuarantine = 2;

/** Maximum number of suspects that are remembered. A record with that many stays below a megabyte. */
export const maximumSuspects = 3_000;

/** Time between two reads of the stored suspects by a router. */
export const quarantineReadInterval: Milliseconds = 60_000;

/** Maximum number of attempts to write the suspects to the store. */
export const quarantineWriteAttempts = 20;

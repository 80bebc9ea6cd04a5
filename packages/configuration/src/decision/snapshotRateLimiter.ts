/**
 * Limits how much of snapshots a process gives out, so that a herd of restarts does not starve its requests.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Bytes of snapshots that a process gives out a second. */
export const snapshotBytesPerSecond = 2 * 1024 * 1024;

/** Bytes of snapshots that a process gives out at once. */
export const snapshotBurstBytes = 8 * 1024 * 1024;

const millisecondsPerSecond = 1_000;

/** A token bucket in bytes that may be overdrawn by one answer. */
export class SnapshotRateLimiter {
    private bytes = snapshotBurstBytes;
    private refilledAt: Milliseconds | undefined;

    /** Whether another answer may be given now. */
    allows(now: Milliseconds): boolean {
        const elapsed = now - (this.refilledAt ?? now);
        this.refilledAt = now;
        this.bytes = Math.min(
            snapshotBurstBytes,
            this.bytes + elapsed * snapshotBytesPerSecond / millisecondsPerSecond,
        );
        return this.bytes > 0;
    }

    /** Takes the bytes of an answer. */
    take(bytes: number): void {
        this.bytes -= bytes;
    }
}

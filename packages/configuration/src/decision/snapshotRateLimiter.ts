/**
 * Limits the rate at which a process sends snapshots, so that a mass restart of its peers does not starve the requests
 * that it serves.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Maximum rate at which a process sends snapshots. */
export const snapshotBytesPerSecond = 2 * 1024 * 1024;

/** Maximum burst of snapshots that a process sends. */
export const snapshotBurstBytes = 8 * 1024 * 1024;

const millisecondsPerSecond = 1_000;

/** A token bucket in bytes; one answer may overdraw it. */
export class SnapshotRateLimiter {
    private bytes = snapshotBurstBytes;
    private refilledAt: Milliseconds | undefined;

    /** True if another answer may be sent now. */
    allows(now: Milliseconds): boolean {
        const elapsed = now - (this.refilledAt ?? now);
        this.refilledAt = now;
        this.bytes = Math.min(
            snapshotBurstBytes,
            this.bytes + elapsed * snapshotBytesPerSecond / millisecondsPerSecond,
        );
        return this.bytes > 0;
    }

    /** Debits the bytes of an answer. */
    consume(bytes: number): void {
        this.bytes -= bytes;
    }
}

/**
 * Issues permits to send requests to endpoints that state a limit. For each such endpoint one router, its owner, issues
 * the permits of the whole fleet, so the sum stays within the limit, permits go to the routers that have requests, and
 * the messages for an endpoint grow with its limit, not with the number of routers.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "@redwingpin/common";
import type { PermitReply, PermitRequest } from "@redwingpin/fleet";

/** Unused permits accumulate over this time. */
const burstTime: Milliseconds = 500;

/** Unused permits that may accumulate at any limit, since requests for them arrive irregularly. */
const minBurst = 3;

/** A router counts as asking for this time after its last request for a permit, or until it is expected to ask again. */
const askerLifetime: Milliseconds = 2_000;

/** Requests for permits that the owner expects for each permit, so that few permits remain unused. */
const requestsPerPermit = 2;

/** Longest time until a router asks again: it may have missed that the limit was raised or ended. */
const maxRetryAfter: Milliseconds = 20_000;

/** An endpoint is forgotten if nobody has asked for this time. */
const endpointLifetime: Milliseconds = 60_000;

/** Interval at which routers and endpoints that have expired are removed. */
const removalInterval: Milliseconds = 1_000;

const millisecondsPerSecond = 1_000;

interface PermitBucket {
    perSecond: number;
    /** When the endpoint stated the limit or its end, on this process's clock. */
    statedAt: Milliseconds;
    isLimited: boolean;
    /** Permits that can be issued now. */
    level: number;
    updatedAt: Milliseconds;
    /** When each router that has asked counts as asking no more. */
    readonly askers: Map<string, Milliseconds>;
    removalDueAt: Milliseconds;
}

/** Issues the permits of the endpoints that this router owns. */
export class PermitIssuer {
    private readonly buckets = new Map<string, PermitBucket>();

    constructor(private readonly random: RandomSource) {}

    /**
     * Answers a router's request. `share` is the part of the fleet's known routers that are live, as this router sees
     * it: in a partition, the owners of both sides together issue no more than the limit.
     */
    answer(router: string, request: PermitRequest, share: number, now: Milliseconds): PermitReply {
        const bucket = this.bucketOf(request, now);
        this.updateLimit(bucket, request, now);
        if (!bucket.isLimited) {
            return { kind: "unlimited", age: now - bucket.statedAt };
        }
        this.refill(bucket, share, now);
        if (bucket.level >= 1) {
            bucket.level -= 1;
            bucket.askers.set(router, now + askerLifetime);
            return { kind: "granted" };
        }
        const retryAfter = this.retryAfter(bucket, share);
        bucket.askers.set(router, now + Math.max(askerLifetime, 2 * retryAfter));
        return { kind: "denied", retryAfter };
    }

    /** Time after which a router asks again: routers that ask divide the permits among themselves. */
    private retryAfter(bucket: PermitBucket, share: number): Milliseconds {
        const permitInterval = millisecondsPerSecond / (bucket.perSecond * share);
        const untilNext = (1 - bucket.level) * permitInterval;
        const turn = Math.max(1, bucket.askers.size) * permitInterval / requestsPerPermit;
        return Math.min(maxRetryAfter, Math.max(untilNext, turn * (0.5 + this.random.unit())));
    }

    private bucketOf({ endpoint, perSecond }: PermitRequest, now: Milliseconds): PermitBucket {
        const known = this.buckets.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        this.removeExpired(now);
        const bucket: PermitBucket = {
            perSecond: perSecond ?? 0,
            statedAt: -Infinity,
            isLimited: false,
            level: 0,
            updatedAt: now,
            askers: new Map(),
            removalDueAt: now + removalInterval,
        };
        this.buckets.set(endpoint, bucket);
        return bucket;
    }

    /** Applies what the router knows of the limit if it is newer. */
    private updateLimit(bucket: PermitBucket, { age, perSecond }: PermitRequest, now: Milliseconds): void {
        const statedAt = now - age;
        if (statedAt > bucket.statedAt) {
            bucket.statedAt = statedAt;
            bucket.isLimited = perSecond !== undefined;
            bucket.perSecond = perSecond ?? bucket.perSecond;
        }
    }

    private refill(bucket: PermitBucket, share: number, now: Milliseconds): void {
        const rate = bucket.perSecond * share / millisecondsPerSecond;
        const capacity = Math.max(minBurst, rate * burstTime);
        bucket.level = Math.min(capacity, bucket.level + rate * (now - bucket.updatedAt));
        bucket.updatedAt = now;
        if (bucket.removalDueAt <= now) {
            bucket.removalDueAt = now + removalInterval;
            for (const [router, until] of bucket.askers) {
                if (until <= now) {
                    bucket.askers.delete(router);
                }
            }
        }
    }

    private removeExpired(now: Milliseconds): void {
        for (const [endpoint, bucket] of this.buckets) {
            if (now - bucket.updatedAt > endpointLifetime) {
                this.buckets.delete(endpoint);
            }
        }
    }
}

/**
 * What a router assumes about endpoints whose slots it shares with other routers, without messages besides the loads that
 * routers report anyway: the present load, and how many further requests it may send.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Share of an endpoint's own queue that routers fill; the rest absorbs what they send before they hear of each other. */
const usableQueueShare = 0.5;

/** Requests of the other routers at one endpoint, as last reported. */
export interface ReportedRunning {
    readonly running: number;
    readonly age: Milliseconds;
}

/** Load of an endpoint as a router knows it. */
export interface EndpointOccupancy {
    /** Number of requests that the endpoint runs at once. */
    readonly slots: number;
    /** Number of further requests that it queues before it rejects. */
    readonly queue: number;
    /** Requests that this router has sent and that have not ended. */
    readonly own: number;
    /** Requests of the other routers that are expected to run now. */
    readonly others: number;
    /** Number of live routers, including this one. */
    readonly routers: number;
}

/**
 * Returns the number of requests of other routers that are expected to run at each endpoint of a service now. Of the requests
 * in a report, those that have ended since are replaced by ones that may be at any endpoint. Without this, all routers
 * send to the endpoint that was reported as idle last, until the next report.
 */
export function expectedRunning(
    reports: readonly ReportedRunning[],
    meanDuration: Milliseconds,
): number[] {
    const mean = reports.reduce((sum, { running }) => sum + running, 0) / Math.max(1, reports.length);
    return reports.map(({ age, running }) => {
        const remainingShare = Math.exp(-age / Math.max(1, meanDuration));
        return mean + remainingShare * (running - mean);
    });
}

/**
 * Number of further requests that this router may send now; 0 if the endpoint is full.
 *
 * The load of other routers is an average, and the present one differs by about the root of it. The difference is left
 * free. A router always has its equal part of the slots and the usable queue, so that routers that see outdated loads
 * don't all stop sending.
 */
export function roomAtEndpoint({ slots, queue, own, others, routers }: EndpointOccupancy): number {
    const usable = slots + queue * usableQueueShare;
    const estimate = usable - others - Math.sqrt(others);
    const equalPart = usable / Math.max(1, routers);
    return Math.max(0, Math.floor(Math.max(estimate, equalPart)) - own);
}

/**
 * Ejects endpoints that fail or that answer far slower than their peers. The ejection time doubles with each
 * ejection, and only a limited share of a pool is ejected at the same time.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { EndpointState } from "./endpointTable.js";

/** Share of a pool's endpoints that may be ejected at the same time; at least one if the pool has two or more. */
export const maximumEjectedShare = 0.25;

/** Consecutive failures after which an endpoint is ejected. */
export const failuresBeforeEjection = 3;

/** An endpoint is slow if its smoothed slowness exceeds this multiple of its peers' median. */
export const slownessRatio = 4;

/** An endpoint's slowness is checked each time it has sent this many further answers. */
export const slownessCheckInterval = 8;

/** Duration of the first ejection; each further one lasts twice as long as the previous one. */
export const baseEjectionTime: Milliseconds = 5_000;

/** Maximum duration of an ejection. */
export const maximumEjectionTime: Milliseconds = 60_000;

export function isEjected(endpoint: EndpointState, now: Milliseconds): boolean {
    return endpoint.ejectedUntil > now;
}

/** Ejects the endpoint if it fails or is slow and the limit for its pool allows it. Returns whether it was ejected. */
export function ejectIfUnhealthy(
    endpoint: EndpointState,
    peers: readonly EndpointState[],
    now: Milliseconds,
): boolean {
    if (isEjected(endpoint, now) || !(isFailing(endpoint) || isSlow(endpoint, peers))) {
        return false;
    }
    const ejected = peers.filter((peer) => isEjected(peer, now)).length;
    if (ejected + 1 > maximumEjectedEndpoints(peers.length)) {
        return false;
    }
    endpoint.ejectedUntil = now + Math.min(maximumEjectionTime, baseEjectionTime * 2 ** endpoint.ejections);
    endpoint.ejections += 1;
    endpoint.consecutiveFailures = 0;
    endpoint.answerCount = 0;
    endpoint.slowness = 0;
    return true;
}

/** Maximum number of endpoints of a pool that may be ejected at the same time. */
export function maximumEjectedEndpoints(poolSize: number): number {
    return poolSize < 2 ? 0 : Math.max(1, Math.floor(poolSize * maximumEjectedShare));
}

function isFailing(endpoint: EndpointState): boolean {
    return endpoint.consecutiveFailures >= failuresBeforeEjection;
}

function isSlow(endpoint: EndpointState, peers: readonly EndpointState[]): boolean {
    if (endpoint.answerCount === 0 || endpoint.answerCount % slownessCheckInterval !== 0) {
        return false;
    }
    const others = peers
        .filter((peer) => peer !== endpoint && peer.answerCount >= slownessCheckInterval)
        .map((peer) => peer.slowness)
        .sort((left, right) => left - right);
    const median = others[Math.floor(others.length / 2)];
    return median !== undefined && endpoint.slowness > slownessRatio * median;
}

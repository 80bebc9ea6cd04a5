/**
 * Ejection of endpoints that fail or answer far slower than their peers, for a time that doubles, and never of
 * more than a set share of a pool.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { EndpointKnowledge } from "./endpointTable.js";

/** Share of a pool's endpoints that may be ejected at once; at least one endpoint of two or more. */
export const maximumEjectedShare = 0.25;

/** Failures in a row after which an endpoint is ejected. */
export const failuresBeforeEjection = 3;

/** An endpoint is slow where its answers begin this many times later than the median of its peers. */
export const slownessRatio = 4;

/** Answers before an endpoint's slowness counts; it is looked at again after each further such number. */
export const answersBeforeEjection = 8;

/** First ejection; each further one lasts twice as long. */
export const baseEjection: Milliseconds = 5_000;

/** Longest ejection. */
export const maximumEjection: Milliseconds = 60_000;

/** True while the endpoint is ejected. */
export function isEjected(endpoint: EndpointKnowledge, now: Milliseconds): boolean {
    return endpoint.ejectedUntil > now;
}

/** Ejects the endpoint if it fails or is slow and the cap allows it. Returns whether it did. */
export function ejectIfBad(
    endpoint: EndpointKnowledge,
    peers: readonly EndpointKnowledge[],
    now: Milliseconds,
): boolean {
    if (isEjected(endpoint, now) || !(isFailing(endpoint) || isSlow(endpoint, peers))) {
        return false;
    }
    const ejected = peers.filter((peer) => isEjected(peer, now)).length;
    if (ejected + 1 > maximumEjections(peers.length)) {
        return false;
    }
    endpoint.ejectedUntil = now + Math.min(maximumEjection, baseEjection * 2 ** endpoint.ejections);
    endpoint.ejections += 1;
    endpoint.consecutiveFailures = 0;
    endpoint.answers = 0;
    endpoint.slowness = 0;
    return true;
}

/** Endpoints of a pool that may be ejected at once. */
export function maximumEjections(poolSize: number): number {
    return poolSize < 2 ? 0 : Math.max(1, Math.floor(poolSize * maximumEjectedShare));
}

function isFailing(endpoint: EndpointKnowledge): boolean {
    return endpoint.consecutiveFailures >= failuresBeforeEjection;
}

function isSlow(endpoint: EndpointKnowledge, peers: readonly EndpointKnowledge[]): boolean {
    if (endpoint.answers === 0 || endpoint.answers % answersBeforeEjection !== 0) {
        return false;
    }
    const others = peers
        .filter((peer) => peer !== endpoint && peer.answers >= answersBeforeEjection)
        .map((peer) => peer.slowness)
        .sort((left, right) => left - right);
    const median = others[Math.floor(others.length / 2)];
    return median !== undefined && endpoint.slowness > slownessRatio * median;
}

/**
 * What a request tells of the version of its endpoint, and the endpoints of the versions that it may go to.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { RequestVersions, VersionOutcome } from "@redwingpin/delivery";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import type { Choice } from "../decision/endpointChoice.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { DirectRequest } from "./callerRequest.js";

/** Predictions below this are too small for a ratio: the latency is mostly that of the network. */
const minPrediction: Milliseconds = 20;

/** First status of an endpoint's own fault. */
const firstServerErrorStatus = 500;

/** Latencies of an attempt; absent if there was no answer. */
export interface AttemptLatencies {
    /** Time to the first event or the whole answer. */
    readonly first: Milliseconds | undefined;
    /** Time from then to the end. */
    readonly stream: Milliseconds | undefined;
    readonly outputTokens: number;
    /** Usual time per output token. */
    readonly perToken: Milliseconds;
}

/** Parts of a router that an attempt's record needs. */
export interface VersionContext {
    readonly clock: Clock;
    readonly endpointTable: EndpointTable;
}

/** Records that an attempt is sent; the result records its end, given when its answer began. */
export function trackVersion(
    versions: RequestVersions | undefined,
    { clock, endpointTable }: VersionContext,
    { metadata, route, service }: DirectRequest,
    choice: Choice,
): (outcome: AttemptOutcome, firstAnswerAt: Milliseconds | undefined) => void {
    const sentAt = clock.now();
    const recordEnd = versions?.start(route.name, choice.endpointState, sentAt);
    return (outcome, firstAnswerAt) => {
        const now = clock.now();
        const latencies = {
            first: firstAnswerAt && firstAnswerAt - sentAt,
            stream: firstAnswerAt && now - firstAnswerAt,
            outputTokens: metadata.outputTokens,
            perToken: endpointTable.speed(service.name).timePerOutputToken,
        };
        recordEnd?.(versionOutcome(outcome, choice, latencies), now);
    };
}

/** An attempt that timed out counts as slow: whether it would have failed is unknown. */
export function versionOutcome(
    outcome: AttemptOutcome,
    { latency }: Choice,
    latencies: AttemptLatencies,
): VersionOutcome {
    switch (outcome.kind) {
        case "delivered":
            return latencies.first === undefined
                ? { kind: "neither" }
                : {
                    kind: "answered",
                    ratio: Math.max(
                        latencies.first / Math.max(minPrediction, latency),
                        streamRatio(latencies),
                    ),
                };
        case "failed":
            return outcome.answer.status >= firstServerErrorStatus
                ? { kind: "failed" }
                : { kind: "neither" };
        case "broken":
            return { kind: "failed" };
        case "timedOut":
            return { kind: "answered", ratio: Infinity };
        case "notRun":
        case "callerGone":
            return { kind: "neither" };
    }
}

/** Ratio of the time from the first event to the end to the one that is usual for the stated number of tokens. */
function streamRatio({ outputTokens, perToken, stream = 0 }: AttemptLatencies): number {
    return outputTokens > 0 ? stream / Math.max(minPrediction, outputTokens * perToken) : 0;
}

/** Groups of endpoints to choose from, the preferred one first; all endpoints if the service has no order. */
export function allowedGroups(
    versions: RequestVersions | undefined,
    endpointStates: readonly EndpointState[],
    now: Milliseconds,
): readonly (readonly EndpointState[])[] {
    const isFull = (endpointState: EndpointState) =>
        endpointState.totalRunning(now) >= Math.max(1, endpointState.endpoint.slots);
    return versions?.groups(endpointStates, now, isFull) ?? [endpointStates];
}

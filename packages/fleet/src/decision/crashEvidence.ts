/**
 * Judges which of the requests that were at an endpoint when it crashed, or which part that prompts share, is the cause.
 *
 * Most requests that are at an endpoint when it crashes are innocent. The evidence against a cause is conclusive once
 * endpoints have crashed under it several times in succession, each time under a request that was sent after the previous
 * crash, and no endpoint has survived a request with it since. A crash that another part explains does not count.
 *
 * The first event of an answer does not show that the endpoint survives the request. Parts are cleared once an answer has
 * lasted for {@link survivalTime}; a request is cleared only by a complete answer.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Number of successive crashes after which a cause is quarantined. */
export const crashesBeforeQuarantine = 3;

/**
 * Number of successive crashes after which a request is quarantined if they also came later than {@link survivalTime} after
 * the first event. An innocent stream that is resumed may meet several crashes.
 */
export const lateCrashesBeforeQuarantine = 5;

/** An endpoint that crashes because it begins to answer does so within this time after the first event. */
export const survivalTime: Milliseconds = 500;

/** A part is quarantined only if requests with different content crashed under it: otherwise one request is the cause. */
const minRequestsOfPart = 2;

/** Routers notice the same crash at different times, at most this far apart; an endpoint takes longer to restart. */
const sameCrashTolerance: Milliseconds = 1_000;

/** What crashes endpoints. */
export type CrashCause =
    /** A request, by its fingerprint. */
    | { readonly kind: "request"; readonly name: string; }
    /** A part that prompts share. */
    | { readonly kind: "part"; readonly name: string; };

/** A request whose endpoint crashed before the answer was complete. */
export interface InterruptedRequest {
    readonly fingerprint: string;
    /** Names of the parts that its prompt may share with others, outermost first. */
    readonly parts: readonly string[];
    readonly endpoint: string;
    readonly sentAt: Milliseconds;
    /** True if the answer had lasted for {@link survivalTime} before the crash. */
    readonly hasSurvived: boolean;
}

/** A request that was at an endpoint when it crashed. */
export interface Suspect extends InterruptedRequest {
    readonly crashedAt: Milliseconds;
    /** Number of the change; absent if a peer has reported it. */
    readonly change?: number;
}

/** Evidence against a cause. */
export interface Evidence {
    readonly cause: CrashCause;
    readonly isConclusive: boolean;
    /** True if an endpoint has survived a request with the cause before. */
    readonly hasSurvivor: boolean;
    /** Position of the part in its prompts; -1 for a request. */
    readonly depth: number;
    readonly firstCrashAt: Milliseconds;
    readonly lastCrashAt: Milliseconds;
}

/** The suspects of those crashes that no quarantined part explains. */
export function unexplainedSuspects(
    suspects: readonly Suspect[],
    isQuarantined: (part: string) => boolean,
): readonly Suspect[] {
    const explained = suspects.filter(({ parts }) => parts.some(isQuarantined));
    return explained.length === 0
        ? suspects
        : suspects.filter((suspect) => !explained.some((other) => isSameCrash(suspect, other)));
}

/**
 * Collects the evidence against a cause. `survivedAt` is the time at which an endpoint was last known to have survived a
 * request with it; -Infinity if there is no such endpoint.
 */
export function collectEvidence(
    cause: CrashCause,
    suspects: readonly Suspect[],
    survivedAt: Milliseconds,
): Evidence {
    const counted = suspects.filter((suspect) =>
        isSuspectOf(suspect, cause) && suspect.crashedAt > survivedAt
    );
    const crashTimes = counted.map((suspect) => suspect.crashedAt);
    const requests = new Set(counted.map((suspect) => suspect.fingerprint));
    const minRequests = cause.kind === "part" ? minRequestsOfPart : 1;
    return {
        cause,
        isConclusive: requests.size >= minRequests && hasEnoughCrashes(counted, cause),
        hasSurvivor: survivedAt > -Infinity,
        depth: cause.kind === "part"
            ? Math.max(-1, ...counted.map(({ parts }) => parts.indexOf(cause.name)))
            : -1,
        firstCrashAt: Math.min(...crashTimes),
        lastCrashAt: Math.max(...crashTimes),
    };
}

/** Every possible cause of a crash under a request. */
export function causesOf(fingerprint: string, parts: readonly string[]): CrashCause[] {
    return [
        { kind: "request", name: fingerprint },
        ...parts.map((name): CrashCause => ({ kind: "part", name })),
    ];
}

/** Key of a cause in a map. */
export function keyOf(cause: CrashCause): string {
    return `${cause.kind}:${cause.name}`;
}

function isSuspectOf(suspect: Suspect, cause: CrashCause): boolean {
    return cause.kind === "part"
        ? !suspect.hasSurvived && suspect.parts.includes(cause.name)
        : suspect.fingerprint === cause.name;
}

function isSameCrash(left: Suspect, right: Suspect): boolean {
    return left.endpoint === right.endpoint
        && Math.abs(left.crashedAt - right.crashedAt) <= sameCrashTolerance;
}

function hasEnoughCrashes(suspects: readonly Suspect[], cause: CrashCause): boolean {
    const early = suspects.filter((suspect) => !suspect.hasSurvived);
    return successiveCrashes(early, cause) >= crashesBeforeQuarantine
        || successiveCrashes(suspects, cause) >= lateCrashesBeforeQuarantine;
}

/**
 * Length of the longest series of crashes in which each request was sent after the previous crash. Copies of one request may
 * overlap: few requests are at several endpoints at once, unlike those that share a part.
 */
function successiveCrashes(suspects: readonly Suspect[], { kind }: CrashCause): number {
    let crashes = 0;
    let lastCrashAt: Milliseconds = -Infinity;
    for (const suspect of [...suspects].sort((left, right) => left.crashedAt - right.crashedAt)) {
        const isLater = kind === "request" && suspect.crashedAt - lastCrashAt > sameCrashTolerance;
        if (suspect.sentAt >= lastCrashAt || isLater) {
            crashes += 1;
            lastCrashAt = suspect.crashedAt;
        }
    }
    return crashes;
}

/**
 * Orders the most likely cause first: a part rather than one request, a part that no endpoint is known to have survived,
 * and of those the innermost one, since outer parts are shared by more requests.
 */
export function compareLikelihood(left: Evidence, right: Evidence): number {
    return Number(right.cause.kind === "part") - Number(left.cause.kind === "part")
        || Number(left.hasSurvivor) - Number(right.hasSurvivor)
        || right.depth - left.depth;
}

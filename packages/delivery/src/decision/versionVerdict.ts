/**
 * Sequential test of a new version against the old one. It compares both in the same time and on the same route, so that a
 * disturbance that affects both is no evidence, and keeps the evidence of each route and kind of bad response apart.
 *
 * Under the hypothesis that both versions are equally bad, each bad response is one of the new version with probability
 * `q`, the new version's share of the responses in that window. The likelihood ratio against odds that are `r` times as
 * high, mixed over several `r`, is a martingale; by Ville's inequality its maximum exceeds `1 / errorRate` with at most
 * the probability `errorRate`. The sum is cut off at 0, so that a version that becomes bad later is found as quickly as one
 * that was bad from the start; the error rate then holds for each time at which the sum is 0, and is divided by the number of
 * windows so far to make up for that.
 *
 * @module
 */
import type { VersionOutcomes } from "@redwingpin/fleet";
import { type RouteTotals, sum } from "./outcomeCounts.js";

/** Probability of rejecting a good version in one window, for one kind of bad response. */
const errorRate = 1e-3;

/** Evidence, as the logarithm of a likelihood ratio, from which a version is rejected. */
export const rejectionEvidence = Math.log(1 / errorRate);

/** Evidence from which a committed rollout is not completed before the last write. */
export const suspiciousEvidence = 2.5;

/** Evidence from which a version is rejected at the time limit; significance if it has given more than a few responses. */
const likelyEvidence = 1.9;
const fewAnswers = 50;

/** True if a version is more likely bad than good, for a decision at the time limit. */
export function isLikelyBad({ evidence, significance }: Verdict, newAnswered: number): boolean {
    return (newAnswered < fewAnswers ? evidence : significance) >= likelyEvidence;
}

/** Evidence from which a rollout is not committed before its last chance. */
export const doubtfulEvidence = 1.5;

/** Alternatives: ratios of the odds that a bad response is one of the new version. */
const oddsRatios = [3, 8, 25];

/** A version with fewer bad responses is not rejected. */
const minBad = 4;

/** A response is slow if its ratio is this many steps, a factor of 2.8, above the median of the old version. */
const slowSteps = 3;

/** Responses of the old version that are needed to know its median: on a route, and on all routes while it is not known. */
const minRouteReference = 30;
const minReference = 12;

/** A window of comparison ends once it has this many responses, some of each version. */
const windowResponses = 40;
const windowOldResponses = 6;

/**
 * Slow responses arrive in later windows than others. Without a memory of higher shares, those of the new version would
 * count as evidence when its share decreases. The memory decays by this factor with each window.
 */
const shareMemory = 0.9;

/**
 * Share of bad responses above which a version is tested without a comparison at the same time, which is not possible
 * while it gets nearly all requests, and the multiple of the old version's share that is tolerated.
 */
const tolerableShare = 0.04;
const tolerableMultiple = 3;

/** Stands for all routes together, whose evidence is also tested. */
const allRoutes = "(all)";

/** Responses and bad ones of both versions in a window, for one route and kind. */
interface Window {
    readonly newAnswered: number;
    readonly newBad: number;
    readonly oldAnswered: number;
    readonly oldBad: number;
}

const emptyWindow: Window = { newAnswered: 0, newBad: 0, oldAnswered: 0, oldBad: 0 };

/** Evidence of one route and kind of bad response. */
interface Evidence {
    /** Totals at the end of the last complete window. */
    base: Window;
    /** By alternative, up to then. */
    sums: number[];
    absolute: number;
    /** Complete windows. */
    windows: number;
    /** Highest share of the new version in recent windows. */
    recentShare: number;
}

/** The strongest evidence against a version. */
export interface Verdict {
    /** Logarithm of the likelihood ratio. */
    readonly evidence: number;
    /** The evidence less what the number of tests explains, see {@link rejectionEvidence}. */
    readonly significance: number;
    readonly isBad: boolean;
    readonly route: string;
    /** `failed` or `slow`. */
    readonly kind: string;
    readonly newBad: number;
    readonly newAnswered: number;
    readonly oldBad: number;
    readonly oldAnswered: number;
}

/** Tests the new version of one order. */
export class VersionTest {
    private readonly evidence = new Map<string, Evidence>();
    /** Step of latency ratios from which responses are slow, by route; it does not change once it is known. */
    private readonly slowFrom = new Map<string, number>();

    /** Takes the totals of all routes. */
    observe(routes: readonly RouteTotals[]): Verdict {
        let worst: Verdict = {
            ...emptyWindow,
            ...{ evidence: 0, significance: 0, isBad: false, route: "", kind: "failed" },
        };
        this.setSlowSteps(routes);
        const kinds: readonly (readonly [string, (totals: RouteTotals) => Window])[] = [
            ["failed", (totals) => windowOf(totals, (row) => row.failed)],
            ["slow", (totals) => this.slowWindow(totals)],
        ];
        for (const [kind, toWindow] of kinds) {
            const windows = routes.map((totals) => ({ route: totals.route, window: toWindow(totals) }));
            const all = windows.map(({ window }) => window).reduce(add, emptyWindow);
            for (const { route, window } of [{ route: allRoutes, window: all }, ...windows]) {
                const { evidence, windows } = this.update(`${kind} ${route}`, window);
                // Each route and window is a further test, so that its evidence has to be stronger.
                const tests = (1 + windows) * (route === allRoutes ? 1 : routes.length + 1);
                const significance = evidence - Math.log(tests);
                const isBad = significance >= rejectionEvidence && window.newBad >= minBad;
                const isWorst = significance > worst.significance
                    || (worst.significance <= 0 && evidence > worst.evidence);
                worst = {
                    ...isWorst ? { ...window, route, kind } : worst,
                    evidence: Math.max(evidence, worst.evidence),
                    significance: Math.max(significance, worst.significance),
                    isBad: isBad || worst.isBad,
                };
            }
        }
        return worst;
    }

    private update(key: string, now: Window): { evidence: number; windows: number; } {
        const known = this.evidence.get(key)
            ?? { base: emptyWindow, sums: oddsRatios.map(() => 0), absolute: 0, windows: 0, recentShare: 0 };
        this.evidence.set(key, known);
        const window = subtract(now, known.base);
        const sums = oddsRatios.map((ratio, index) =>
            Math.max(0, known.sums[index] + comparedEvidence(window, known.recentShare, ratio))
        );
        const absolute = Math.max(0, known.absolute + absoluteEvidence(window, now));
        const isComplete = window.newAnswered + window.oldAnswered >= windowResponses
            && window.newAnswered > 0 && window.oldAnswered >= windowOldResponses;
        if (isComplete) {
            known.base = now;
            known.sums = sums;
            known.absolute = absolute;
            known.windows += 1;
            known.recentShare = Math.max(shareOf(window), known.recentShare * shareMemory);
        }
        const mixture = Math.log(sum(sums.map(Math.exp)) / oddsRatios.length);
        return { evidence: Math.max(mixture, isWorse(now) ? absolute : 0), windows: known.windows };
    }

    /**
     * Determines from which step on responses are slow: against the median of the old version on the route, or on all
     * routes until enough of its responses there are known.
     */
    private setSlowSteps(routes: readonly RouteTotals[]): void {
        const all = addLatencies(routes);
        if (!this.slowFrom.has(allRoutes) && sum(all) >= minReference) {
            this.slowFrom.set(allRoutes, medianStep(all) + slowSteps);
        }
        for (const { route, old, fresh } of routes) {
            if (!this.slowFrom.has(route) && sum(old.latencies) >= minRouteReference) {
                this.slowFrom.set(route, medianStep(old.latencies) + slowSteps);
                this.startAgain(`slow ${route}`, this.slowWindow({ route, old, fresh }));
                this.startAgain(
                    `slow ${allRoutes}`,
                    routes.map((totals) => this.slowWindow(totals)).reduce(add, emptyWindow),
                );
            }
        }
    }

    /** Starts a window at the totals as counted from now on; the evidence of earlier ones is kept. */
    private startAgain(key: string, base: Window): void {
        const known = this.evidence.get(key);
        if (known !== undefined) {
            known.base = base;
        }
    }

    /** Responses and slow ones; none until it is known which ones are slow. */
    private slowWindow(totals: RouteTotals): Window {
        const slowFrom = this.slowFrom.get(totals.route) ?? this.slowFrom.get(allRoutes);
        return slowFrom === undefined
            ? emptyWindow
            : windowOf(totals, (row) => sum(row.latencies.slice(slowFrom)));
    }
}

function add(left: Window, right: Window): Window {
    return {
        newAnswered: left.newAnswered + right.newAnswered,
        newBad: left.newBad + right.newBad,
        oldAnswered: left.oldAnswered + right.oldAnswered,
        oldBad: left.oldBad + right.oldBad,
    };
}

function shareOf({ newAnswered, oldAnswered }: Window): number {
    return newAnswered / Math.max(1, newAnswered + oldAnswered);
}

/** Evidence of the bad responses of a window for odds that are `ratio` times as high. */
function comparedEvidence(window: Window, recentShare: number, ratio: number): number {
    const { newBad, oldBad } = window;
    const share = Math.max(shareOf(window), recentShare);
    if (share === 0 || share === 1) {
        return 0;
    }
    const alternative = ratio * share / (ratio * share + 1 - share);
    return newBad * Math.log(alternative / share) + oldBad * Math.log((1 - alternative) / (1 - share));
}

/** Evidence of a window against the share of bad responses that is tolerable, given those of the old version so far. */
function absoluteEvidence(window: Window, totals: Window): number {
    const oldShare = (totals.oldBad + 1) / (totals.oldAnswered + 20);
    const tolerable = Math.min(0.5, Math.max(tolerableShare, tolerableMultiple * oldShare));
    const alternative = Math.min(0.9, Math.max(0.25, 2 * tolerable));
    const good = window.newAnswered - window.newBad;
    return window.newBad * Math.log(alternative / tolerable)
        + good * Math.log((1 - alternative) / (1 - tolerable));
}

/** False if the old version is about as bad as far as it was tested. */
function isWorse({ newAnswered, newBad, oldAnswered, oldBad }: Window): boolean {
    return newBad / Math.max(1, newAnswered) > tolerableMultiple * oldBad / Math.max(1, oldAnswered);
}

function windowOf({ fresh, old }: RouteTotals, badOf: (row: VersionOutcomes) => number): Window {
    return {
        newAnswered: fresh.answered,
        newBad: badOf(fresh),
        oldAnswered: old.answered,
        oldBad: badOf(old),
    };
}

function addLatencies(routes: readonly RouteTotals[]): number[] {
    const length = Math.max(0, ...routes.map(({ old }) => old.latencies.length));
    return Array.from({ length }, (_, step) => sum(routes.map(({ old }) => old.latencies[step] ?? 0)));
}

function medianStep(counts: readonly number[]): number {
    const total = sum(counts);
    let seen = 0;
    return counts.findIndex((count) => (seen += count) * 2 >= total);
}

function subtract(now: Window, base: Window): Window {
    return {
        newAnswered: Math.max(0, now.newAnswered - base.newAnswered),
        newBad: Math.max(0, now.newBad - base.newBad),
        oldAnswered: Math.max(0, now.oldAnswered - base.oldAnswered),
        oldBad: Math.max(0, now.oldBad - base.oldBad),
    };
}

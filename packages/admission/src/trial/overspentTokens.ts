/**
 * Checks recorded admissions: whether the tokens admitted in any interval exceed what rate and burst allow.
 *
 * An admission is charged at the time of the admission with its final cost: the tokens settled, or all tokens reserved
 * if it was never settled. The bound of an interval is the greatest burst that any router had in force during it, plus
 * the greatest rate that any router had in force at each time, integrated over the interval.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** One admission. */
export interface AdmittedRequest {
    readonly account: string;
    readonly at: Milliseconds;
    /** Tokens charged; lowered when the request settles. */
    charge: number;
}

/** Greatest limits in force at any router from `from` on. */
export interface LimitsInForce {
    readonly from: Milliseconds;
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

const unitsPerToken = 1000;

/** Tokens by which the worst interval exceeds its bound; 0 if none does. Both lists are in order of time. */
export function overspentTokens(
    admissions: readonly AdmittedRequest[],
    limits: readonly LimitsInForce[],
): number {
    const bursts = new Set(limits.map((entry) => entry.burstTokens));
    const worst = Math.max(0, ...[...bursts].map((burst) => overspentUnits(admissions, limits, burst)));
    return worst / unitsPerToken;
}

/** The same for the intervals in which no burst above `burst` was in force, in thousandths of a token. */
function overspentUnits(
    admissions: readonly AdmittedRequest[],
    limits: readonly LimitsInForce[],
    burst: number,
): number {
    let level = 0;
    let worst = 0;
    let next = 0;
    let last = 0;
    let current: LimitsInForce = { from: 0, tokensPerSecond: 0, burstTokens: 0 };
    const advanceTo = (time: Milliseconds) => {
        level = Math.max(0, level - (time - last) * current.tokensPerSecond);
        last = time;
    };
    for (const admission of admissions) {
        while (next < limits.length && limits[next].from <= admission.at) {
            advanceTo(limits[next].from);
            current = limits[next];
            next += 1;
            level = current.burstTokens > burst ? 0 : level;
        }
        advanceTo(admission.at);
        if (current.burstTokens <= burst) {
            level += admission.charge * unitsPerToken;
            worst = Math.max(worst, level - burst * unitsPerToken);
        }
    }
    return worst;
}

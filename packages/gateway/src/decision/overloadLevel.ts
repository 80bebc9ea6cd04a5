/**
 * Decides what a router that can't keep up does: it refuses requests at their heads, then closes idle connections, and
 * finally is not ready, so that the load balancer sends new connections elsewhere. Pressure is the lag of the event loop or
 * the wait for its turns, whichever is longer.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** What an overloaded router does; each level includes those before it. */
export enum OverloadLevel {
    None = 0,
    RefuseAtHead = 1,
    CloseIdle = 2,
    NotReady = 3,
}

interface LevelBounds {
    readonly level: OverloadLevel;
    /** The level is reached when the pressure has been this high for `after`. */
    readonly above: Milliseconds;
    /** The level ends when the pressure has been below this for {@link calmTime}. */
    readonly below: Milliseconds;
    readonly after: Milliseconds;
}

/** Bounds of the levels. A single long turn of the event loop, such as a garbage collection, is no overload. */
const levelBounds: readonly LevelBounds[] = [
    { level: OverloadLevel.RefuseAtHead, above: 150, below: 50, after: 200 },
    { level: OverloadLevel.CloseIdle, above: 300, below: 100, after: 600 },
    { level: OverloadLevel.NotReady, above: 600, below: 200, after: 1_500 },
];

/** Time for which the pressure has to be low before a level ends. */
const calmTime: Milliseconds = 500;

/** Longest time without readiness; the load balancer needs two checks, one each second, to notice. */
const maxNotReadyTime: Milliseconds = 3_000;

/** A router is not ready for at most this share of the time. A lack for more than an eighth counts as a failure. */
const maxNotReadyShare = 1 / 16;

/** A router is not ready only if its pressure is this multiple of the mean of the others: else they are no better. */
const minPressureRatio = 2;

/** Largest share of the routers that may be not ready, as far as is known. */
const maxNotReadyRouters = 0.25;

/** What a router measures, and knows of the others. */
export interface OverloadInput {
    /** Lag of the event loop in its last turns. */
    readonly lag: Milliseconds;
    /** Expected wait of a request for its turn. */
    readonly expectedWait: Milliseconds;
    /** Pressure of the other live routers, as last reported; empty if none is known. */
    readonly others: readonly { readonly pressure: Milliseconds; readonly isReady: boolean; }[];
}

interface LevelState {
    /** Since when the pressure has been above the bound of the level. */
    highSince: Milliseconds | undefined;
    /** Since when it has been below the bound at which the level ends. */
    lowSince: Milliseconds | undefined;
    isActive: boolean;
}

/** The level of one router. */
export class OverloadTracker {
    private readonly states: LevelState[] = levelBounds.map(() => ({
        highSince: undefined,
        lowSince: undefined,
        isActive: false,
    }));
    private notReadySince: Milliseconds | undefined;
    /** A router may be not ready again from this time on. */
    private readyUntil: Milliseconds = -Infinity;

    /** Applies a measurement and returns the level. */
    observe(input: OverloadInput, now: Milliseconds): OverloadLevel {
        const pressure = Math.max(input.lag, input.expectedWait);
        let level = OverloadLevel.None;
        levelBounds.forEach((bounds, index) => {
            updateState(this.states[index], bounds, pressure, now);
            if (this.states[index].isActive) {
                level = bounds.level;
            }
        });
        return this.limitNotReady(level, pressure, input, now);
    }

    /** Replaces the last level by the one before it where the router has to be ready. */
    private limitNotReady(
        level: OverloadLevel,
        pressure: Milliseconds,
        input: OverloadInput,
        now: Milliseconds,
    ): OverloadLevel {
        const mayStart = now >= this.readyUntil && canOthersServe(pressure, input);
        const mayContinue = this.notReadySince !== undefined && now - this.notReadySince < maxNotReadyTime;
        const isNotReady = level === OverloadLevel.NotReady
            && (this.notReadySince === undefined ? mayStart : mayContinue);
        if (isNotReady) {
            this.notReadySince ??= now;
            return level;
        }
        if (this.notReadySince !== undefined) {
            const duration = now - this.notReadySince;
            this.readyUntil = now + duration * (1 / maxNotReadyShare - 1);
            this.notReadySince = undefined;
        }
        return Math.min(level, OverloadLevel.CloseIdle);
    }
}

/** True if enough other routers are ready and clearly less busy. */
function canOthersServe(pressure: Milliseconds, { others }: OverloadInput): boolean {
    if (others.length === 0) {
        return false;
    }
    const notReady = others.filter(({ isReady }) => !isReady).length;
    const mean = others.reduce((sum, other) => sum + other.pressure, 0) / others.length;
    return pressure >= minPressureRatio * mean && (notReady + 1) / (others.length + 1) <= maxNotReadyRouters;
}

function updateState(
    state: LevelState,
    bounds: LevelBounds,
    pressure: Milliseconds,
    now: Milliseconds,
): void {
    state.highSince = pressure >= bounds.above ? state.highSince ?? now : undefined;
    state.lowSince = pressure < bounds.below ? state.lowSince ?? now : undefined;
    if (state.highSince !== undefined && now - state.highSince >= bounds.after) {
        state.isActive = true;
    }
    if (state.lowSince !== undefined && now - state.lowSince >= calmTime) {
        state.isActive = false;
    }
}

/**
 * The faults of the rates experiment, one a case.
 *
 * @module
 */
import type { RateFleet } from "@redwingpin/admission/trial";
import type { Milliseconds } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/outside";

/** A fault, by what it does at the start of the measured time and later in it. */
export interface RatesFault {
    readonly name: string;
    /** Time measured, from the fault on. */
    readonly duration: Milliseconds;
    /** Steps at their times after the start of the measured time, in order. */
    readonly steps: readonly FaultStep[];
    /**
     * Offered load of the first account as a part of its rate.
     * @default offeredLoad
     */
    readonly firstAccountLoad?: number;
    /**
     * Part to which the limits of the first account are lowered.
     * @default 1
     */
    readonly limitFactor?: number;
}

/** One step of a fault. */
export interface FaultStep {
    readonly at: Milliseconds;
    readonly apply: (fleet: RateFleet, context: FaultContext) => void;
}

/** What a step may need. */
export interface FaultContext {
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
}

/** Load that every account offers, as a part of its rate. */
export const offeredLoad = 0.9;

const loweredFactor = 0.5;
const usualDuration: Milliseconds = 30_000;
const herdDuration: Milliseconds = 10_000;

function forEachRouter(context: FaultContext, act: (router: number) => void): void {
    for (let router = 0; router < context.routers; router++) {
        act(router);
    }
}

function herd(fleet: RateFleet, context: FaultContext): void {
    forEachRouter(context, (router) => fleet.restart(router));
}

function storeDown(fleet: RateFleet): void {
    fleet.setStoreFault(StoreFault.Down);
}

/** Halves the rate and burst of the first account. */
function lowered(context: FaultContext): ClientAccount[] {
    return context.accounts.map((account, index) =>
        index > 0 ? account : {
            ...account,
            tokensPerSecond: account.tokensPerSecond * loweredFactor,
            burstTokens: account.burstTokens * loweredFactor,
        }
    );
}

/** Cuts one router from every other: both ways, or only what it sends. */
function cutFirst(fleet: RateFleet, context: FaultContext, both: boolean): void {
    forEachRouter(context, (router) => {
        fleet.setCut(0, router, router !== 0);
        fleet.setCut(router, 0, both && router !== 0);
    });
}

/** Every case, the undisturbed one first. */
export const ratesFaults: readonly RatesFault[] = [
    { name: "none", duration: usualDuration, steps: [] },
    {
        name: "one router killed, back after 2 s",
        duration: usualDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.kill(0) },
            { at: 2_000, apply: (fleet) => fleet.restart(0) },
        ],
    },
    { name: "all routers restart", duration: herdDuration, steps: [{ at: 0, apply: herd }] },
    {
        name: "all routers restart, store down",
        duration: herdDuration,
        steps: [{ at: 0, apply: storeDown }, { at: 0, apply: herd }],
    },
    { name: "store down", duration: usualDuration, steps: [{ at: 0, apply: storeDown }] },
    {
        name: "one router frozen for 20 s",
        duration: usualDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.freeze(0) },
            { at: 20_000, apply: (fleet) => fleet.thaw(0) },
        ],
    },
    {
        name: "one router cut off for 20 s",
        duration: usualDuration,
        steps: [
            { at: 0, apply: (fleet, context) => cutFirst(fleet, context, true) },
            { at: 20_000, apply: (fleet) => fleet.network.healAll() },
        ],
    },
    {
        name: "one router cut one way for 20 s",
        duration: usualDuration,
        steps: [
            { at: 0, apply: (fleet, context) => cutFirst(fleet, context, false) },
            { at: 20_000, apply: (fleet) => fleet.network.healAll() },
        ],
    },
    {
        name: "VM replaced, back after 5 s",
        duration: usualDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.remove(0) },
            { at: 5_000, apply: (fleet) => fleet.restart(0) },
        ],
    },
    {
        name: "rate of the largest account halved",
        duration: usualDuration,
        firstAccountLoad: offeredLoad * loweredFactor,
        limitFactor: loweredFactor,
        steps: [
            { at: 0, apply: (fleet, context) => fleet.install(lowered(context), 0) },
            { at: 2_000, apply: (fleet, context) => fleet.install(lowered(context)) },
        ],
    },
    { name: "largest account at 5 times its rate", duration: usualDuration, steps: [], firstAccountLoad: 5 },
];

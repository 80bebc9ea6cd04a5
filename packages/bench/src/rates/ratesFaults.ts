/**
 * The faults of the rates experiment. Each fault is one case.
 *
 * @module
 */
import type { RateFleet } from "@redwingpin/admission/trial";
import type { Milliseconds } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/outside";

/** A fault: what changes at the start of the measurement and during it. */
export interface RatesFault {
    readonly name: string;
    /** Duration of the measurement, from the start of the fault. */
    readonly duration: Milliseconds;
    /** Steps in order of time. */
    readonly steps: readonly FaultStep[];
    /**
     * Offered load of the first account, divided by its rate.
     * @default offeredLoad
     */
    readonly firstAccountLoad?: number;
    /**
     * Factor by which the first account's rate and burst are multiplied during the fault.
     * @default 1
     */
    readonly limitFactor?: number;
}

/** One step of a fault. */
export interface FaultStep {
    /** Time after the start of the measurement. */
    readonly at: Milliseconds;
    readonly apply: (fleet: RateFleet, context: FaultContext) => void;
}

/** The deployment in which a step is applied. */
export interface FaultContext {
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
}

/** Load that every account offers, divided by its rate. */
export const offeredLoad = 0.9;

const loweredLimitFactor = 0.5;
const defaultDuration: Milliseconds = 30_000;
const massRestartDuration: Milliseconds = 10_000;

function forEachRouter(context: FaultContext, apply: (router: number) => void): void {
    for (let router = 0; router < context.routers; router++) {
        apply(router);
    }
}

function restartAllRouters(fleet: RateFleet, context: FaultContext): void {
    forEachRouter(context, (router) => fleet.restart(router));
}

function stopStore(fleet: RateFleet): void {
    fleet.setStoreFault(StoreFault.Down);
}

/** Halves the rate and burst of the first account. */
function lowerFirstAccount(context: FaultContext): ClientAccount[] {
    return context.accounts.map((account, index) =>
        index > 0 ? account : {
            ...account,
            tokensPerSecond: account.tokensPerSecond * loweredLimitFactor,
            burstTokens: account.burstTokens * loweredLimitFactor,
        }
    );
}

/** Partitions the first router from all others, in both directions or only for the messages it sends. */
function partitionFirstRouter(fleet: RateFleet, context: FaultContext, isBidirectional: boolean): void {
    forEachRouter(context, (router) => {
        fleet.setPartitioned(0, router, router !== 0);
        fleet.setPartitioned(router, 0, isBidirectional && router !== 0);
    });
}

/** Every case; the first is without a fault. */
export const ratesFaults: readonly RatesFault[] = [
    { name: "none", duration: defaultDuration, steps: [] },
    {
        name: "one router killed, back after 2 s",
        duration: defaultDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.kill(0) },
            { at: 2_000, apply: (fleet) => fleet.restart(0) },
        ],
    },
    {
        name: "all routers restart",
        duration: massRestartDuration,
        steps: [{ at: 0, apply: restartAllRouters }],
    },
    {
        name: "all routers restart, store down",
        duration: massRestartDuration,
        steps: [{ at: 0, apply: stopStore }, { at: 0, apply: restartAllRouters }],
    },
    { name: "store down", duration: defaultDuration, steps: [{ at: 0, apply: stopStore }] },
    {
        name: "one router frozen for 20 s",
        duration: defaultDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.pause(0) },
            { at: 20_000, apply: (fleet) => fleet.resume(0) },
        ],
    },
    {
        name: "one router cut off for 20 s",
        duration: defaultDuration,
        steps: [
            { at: 0, apply: (fleet, context) => partitionFirstRouter(fleet, context, true) },
            { at: 20_000, apply: (fleet) => fleet.network.removePartitions() },
        ],
    },
    {
        name: "one router cut one way for 20 s",
        duration: defaultDuration,
        steps: [
            { at: 0, apply: (fleet, context) => partitionFirstRouter(fleet, context, false) },
            { at: 20_000, apply: (fleet) => fleet.network.removePartitions() },
        ],
    },
    {
        name: "VM replaced, back after 5 s",
        duration: defaultDuration,
        steps: [
            { at: 0, apply: (fleet) => fleet.remove(0) },
            { at: 5_000, apply: (fleet) => fleet.restart(0) },
        ],
    },
    {
        name: "rate of the largest account halved",
        duration: defaultDuration,
        firstAccountLoad: offeredLoad * loweredLimitFactor,
        limitFactor: loweredLimitFactor,
        steps: [
            { at: 0, apply: (fleet, context) => fleet.applyAccounts(lowerFirstAccount(context), 0) },
            { at: 2_000, apply: (fleet, context) => fleet.applyAccounts(lowerFirstAccount(context)) },
        ],
    },
    {
        name: "largest account at 5 times its rate",
        duration: defaultDuration,
        steps: [],
        firstAccountLoad: 5,
    },
];

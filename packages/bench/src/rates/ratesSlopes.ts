/**
 * Measures how the cost of admission grows with routers and accounts: messages and bytes per request, memory per slot,
 * time per ask, and the size of the roster.
 *
 * @module
 */
import { emptyRoster, encodeRoster, repairRoster, type Roster, SlotHolder } from "@redwingpin/admission";
import type { ClientAccount } from "@redwingpin/manifest";
import { type RatesDeployment, RatesPolicy } from "./ratesDeployments.js";
import { runRates } from "./ratesExperiment.js";
import { ratesFaults } from "./ratesFaults.js";

/** Control traffic of a fleet without faults. */
export interface TrafficPoint {
    readonly routers: number;
    readonly accounts: number;
    readonly requestsPerSecond: number;
    readonly messagesPerRequest: number;
    readonly bytesPerRequest: number;
    readonly bytesPerSecondPerRouter: number;
}

/** Memory of one slot holder, and the time of its operations. */
export interface HolderPoint {
    readonly accounts: number;
    readonly slots: number;
    readonly heapBytesPerSlot: number;
    readonly microsecondsPerAsk: number;
    readonly microsecondsPerAdmission: number;
    /** Time to apply a manifest in which one account has changed. */
    readonly millisecondsPerManifest: number;
}

export interface RosterPoint {
    readonly routers: number;
    readonly bytes: number;
}

/** Measurements at several sizes. They are printed as JSON under these names. */
export interface RatesSlopes {
    readonly traffic: readonly TrafficPoint[];
    readonly holder: readonly HolderPoint[];
    readonly roster: readonly RosterPoint[];
}

const routerCounts = [3, 10, 30, 60];
const accountCounts = [20, 80];
const holderAccounts = [1_000, 4_200, 16_000];
const rosterRouters = [3, 60, 570];
const accountTokensPerSecond = 6_000;
const askCount = 50_000;
/** Milliseconds after which all token buckets are full. */
const bucketsFullAt = 100_000;

/** Measures admission at several sizes of the fleet. */
export async function measureSlopes(seed: number): Promise<RatesSlopes> {
    const traffic: TrafficPoint[] = [];
    for (const routers of routerCounts) {
        for (const accounts of accountCounts) {
            traffic.push(await measureTraffic(routers, accounts, seed));
        }
    }
    return {
        traffic,
        holder: holderAccounts.map(measureHolder),
        roster: rosterRouters.map((routers) => ({
            routers,
            bytes: encodeRoster(createRoster(routers)).length,
        })),
    };
}

async function measureTraffic(routers: number, count: number, seed: number): Promise<TrafficPoint> {
    const accounts = createAccounts(count);
    const deployment: RatesDeployment = { name: "slope", routers, accounts, requestMilliseconds: 300 };
    const row = await runRates({ deployment, fault: ratesFaults[0], policy: RatesPolicy.Shared, seed });
    const requestsPerSecond = row.offered / (ratesFaults[0].duration / 1_000);
    return {
        routers,
        accounts: count,
        requestsPerSecond,
        messagesPerRequest: row.messagesPerSecond / requestsPerSecond,
        bytesPerRequest: row.bytesPerSecondPerRouter * routers / requestsPerSecond,
        bytesPerSecondPerRouter: row.bytesPerSecondPerRouter,
    };
}

function measureHolder(count: number): HolderPoint {
    const accounts = createAccounts(count);
    const roster = createRoster(3);
    global.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const holder = new SlotHolder("router-0");
    holder.accountsChanged(accounts, 0);
    holder.rosterChanged(roster, 0);
    const heapBytes = process.memoryUsage().heapUsed - heapBefore;
    const asks = meanMicroseconds((index) => {
        const now = bucketsFullAt + index;
        holder.grant(`ask-${index}`, accounts[index % count], 1, now);
    });
    const admissions = meanMicroseconds((index) => {
        const now = bucketsFullAt + askCount + index;
        holder.spend(`own-${index}`, accounts[index % count], 1, now);
        holder.refund(`own-${index}`, accounts[index % count], 0, now);
    });
    const changed = accounts.map((account, index) => index > 0 ? account : { ...account, burstTokens: 1 });
    const start = process.hrtime.bigint();
    holder.accountsChanged(changed, bucketsFullAt + 3 * askCount);
    return {
        accounts: count,
        slots: holder.slotsInMemory,
        heapBytesPerSlot: heapBytes / holder.slotsInMemory,
        microsecondsPerAsk: asks,
        microsecondsPerAdmission: admissions,
        millisecondsPerManifest: Number(process.hrtime.bigint() - start) / 1e6,
    };
}

function meanMicroseconds(call: (index: number) => void): number {
    const start = process.hrtime.bigint();
    for (let index = 0; index < askCount; index++) {
        call(index);
    }
    return Number(process.hrtime.bigint() - start) / 1e3 / askCount;
}

function createAccounts(count: number): ClientAccount[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `account-${index}`,
        tokensPerSecond: accountTokensPerSecond,
        burstTokens: 6 * accountTokensPerSecond,
        keys: [],
    }));
}

function createRoster(routers: number): Roster {
    const members = Array.from(
        { length: routers },
        (_, index) => ({ instance: `router-${index}`, leaving: false }),
    );
    return repairRoster(emptyRoster, { members, departed: new Set(), reserveForNewRouters: false })!;
}

import { expect } from "chai";
import {
    type AccountResult,
    type Placement,
    quantile,
    simulateSharedService,
    type SimulationOptions,
    totalOf,
} from "./sharedServiceSimulation.js";

const accounts = Array.from({ length: 16 }, (_, index) => `account-${index}`);
const heavy = accounts.slice(0, 3);
const light = accounts.slice(3);
const slotsPerEndpoint = 6;
const meanDurationSeconds = 0.03;

const small = { routers: 4, endpoints: 4 };
const large = { routers: 31, endpoints: 8 };

type Load = Pick<SimulationOptions, "routers" | "endpoints" | "rate">;

/** Requests per second of each account that make the endpoints as busy as stated. */
function rateAt(utilization: number, endpoints: number): number {
    return utilization * endpoints * slotsPerEndpoint / meanDurationSeconds / accounts.length;
}

function run(placement: Placement, load: Load, of = accounts): AccountResult {
    const results = simulateSharedService({
        ...load,
        placement,
        seed: 1,
        accounts,
        duration: 5_000,
        targetLatency: 150,
    });
    return totalOf(results, of);
}

function rejectedShare({ rejected, requests }: AccountResult): number {
    return rejected / requests;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

describe("the queue of a service with few slots", () => {
    // Guards against requests that wait at a router although endpoints have room.
    for (const { site, size } of [{ site: "4 routers", size: small }, { site: "31 routers", size: large }]) {
        it(`holds no request at half load, and makes none wait longer, with ${site}`, () => {
            const load = { ...size, rate: () => rateAt(0.5, size.endpoints) };
            const queued = run("queue", load);
            expect(queued.holds).to.have.lengthOf(0);
            expect(queued.rejected + queued.refused).to.equal(0);
            expect(mean(queued.waits)).to.be.at.most(mean(run("sendAtOnce", load).waits));
        });
    }

    // Guards against routers that all send to the endpoint that was reported as idle, until its queue is full.
    it("is not needed for endpoints that are alike: nothing is rejected at 0.8 of the capacity", () => {
        const load = { ...large, rate: () => rateAt(0.8, large.endpoints) };
        expect(rejectedShare(run("sendAtOnce", load))).to.be.above(0.1);
        expect(rejectedShare(run("leastRequests", load))).to.be.below(0.001);
        expect(rejectedShare(run("queue", load))).to.be.below(0.001);
    });

    // Guards against a queue that makes a burst above the capacity worse than sending at once.
    it("rejects fewer in a burst above the capacity than sending at once, and at most 0.01 more than least requests", () => {
        const load = {
            ...large,
            rate: (_account: string, second: number) =>
                rateAt(second > 2 && second < 3 ? 1.5 : 0.6, large.endpoints),
        };
        const { rejected, requests, refused } = run("queue", load);
        const share = (rejected + refused) / requests;
        expect(share).to.be.below(rejectedShare(run("sendAtOnce", load)));
        expect(share).to.be.below(rejectedShare(run("leastRequests", load)) + 0.01);
    });

    // Guards against waits at a router that callers have no use for.
    it("holds no request longer than an eighth of the target latency", () => {
        const { holds } = run("queue", { ...small, rate: () => rateAt(1.3, small.endpoints) });
        expect(holds).not.to.have.lengthOf(0);
        expect(Math.max(...holds)).to.be.at.most(150 / 8 + 1);
    });
});

describe("16 accounts, of which three send five times their usual load", () => {
    for (const { site, size } of [{ site: "4 routers", size: small }, { site: "31 routers", size: large }]) {
        // Guards against accounts that take the capacity of others by sending more.
        it(`leave the others their service with ${site} that see each other late`, () => {
            const usual = rateAt(0.8, size.endpoints);
            const rate = (account: string) => heavy.includes(account) ? 5 * usual : usual;
            for (const placement of ["sendAtOnce", "leastRequests"] as const) {
                expect(rejectedShare(run(placement, { ...size, rate }, light))).to.be.above(0.2);
            }
            const queued = run("queue", { ...size, rate }, light);
            expect((queued.rejected + queued.refused) / queued.requests).to.be.below(0.04);
            // The queue of an endpoint takes 120 ms, and the wait at the router an eighth of the target latency.
            expect(quantile(queued.waits, 0.95)).to.be.below(140);
        });
    }
});

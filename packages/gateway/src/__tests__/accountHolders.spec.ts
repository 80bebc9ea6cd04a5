import { type RandomSource, seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { noTolerance, SharedLedger, SpendCause } from "../index.js";
import { accountFixture } from "./gatewayFixture.js";

const account = "makers";
const rate = 60_000;
const burst = 120_000;
const window = 8_000;
const tolerance = { window, share: 0.1, tokens: 110_000 };
const toleratedTokens = (rate * window / 1_000 + burst) * tolerance.share + tolerance.tokens;

/** Interval of the exchanges of a pair of routers, as it follows from 40 exchanges a second. */
const exchangeInterval = (size: number) => Math.max(150, size * 25);

/** Time without contact after which a router counts as unresponsive. */
const liveTime = (size: number) => Math.max(1_500, 2 * exchangeInterval(size));

interface SimulatedRouter {
    readonly name: string;
    ledger: SharedLedger;
    /** Number of its starts. */
    starts: number;
    startedAt: number;
    isDown: boolean;
    /** When each other router was last heard. */
    heardAt: Map<string, number>;
}

/** A router that has started adopts the levels of others for this time. */
const adoptionPeriod = 2_500;

/** Requests of 200 to 15,000 tokens, most of them of some thousand. */
function requestTokens(random: RandomSource): number {
    return random.unit() < 0.25 ? 200 : 800 + Math.floor(14_000 * random.unit() ** 3);
}

/** A fleet that shares one account, with exchanges of pairs at random moments, in steps of 10 ms. */
class SimulatedFleet {
    private readonly random;
    readonly routers: readonly SimulatedRouter[];
    now = 0;
    /** Tokens that were admitted, with their times. */
    readonly admitted: { readonly at: number; readonly tokens: number; }[] = [];
    offered = 0;
    refused = 0;
    /** Calls to other routers while a request waited. */
    calls = 0;
    /** Sides of a partition; routers reach those of their side only. */
    private sideOf: (router: number) => number = () => 0;

    constructor(readonly size: number, seed: number) {
        this.random = seededRandom(seed);
        this.routers = Array.from({ length: size }, (_, index) => {
            const name = `router-${index}`;
            const ledger = this.createLedger(name, true);
            return { name, ledger, starts: 1, startedAt: 0, isDown: false, heardAt: new Map() };
        });
        for (const router of this.routers) {
            this.others(router).forEach(({ name }) => router.heardAt.set(name, 0));
        }
        this.updateFleets();
    }

    private createLedger(name: string, startsFull: boolean): SharedLedger {
        const ledger = new SharedLedger({ startsFull, tolerance, ownName: name });
        ledger.configure([accountFixture({ tokensPerSecond: rate, burstTokens: burst })], this.now);
        return ledger;
    }

    kill(index: number): void {
        this.routers[index].isDown = true;
    }

    /** Starts a killed router without any state. */
    restart(index: number): void {
        const router = this.routers[index];
        router.ledger = this.createLedger(router.name, false);
        router.starts += 1;
        router.startedAt = this.now;
        router.isDown = false;
        router.heardAt = new Map();
    }

    partition(sideOf: (router: number) => number): void {
        this.sideOf = sideOf;
    }

    /** Offers `demand` tokens a second on average, at random routers. */
    run(duration: number, demand: number): void {
        const step = 10;
        const averageTokens = 3_325;
        for (const end = this.now + duration; this.now < end;) {
            this.now += step;
            this.exchangeSomePairs(step);
            for (let due = demand * step / 1_000 / averageTokens; due > 0; due--) {
                if (this.random.unit() < due) {
                    this.request(
                        this.routers[this.random.integerBelow(this.size)],
                        requestTokens(this.random),
                    );
                }
            }
        }
    }

    private request(router: SimulatedRouter, tokens: number): void {
        if (router.isDown) {
            return;
        }
        this.offered += 1;
        if (this.isAdmitted(router, tokens)) {
            this.admitted.push({ at: this.now, tokens });
        }
        else {
            this.refused += 1;
        }
    }

    private isAdmitted({ ledger, name }: SimulatedRouter, tokens: number): boolean {
        const outcome = ledger.spend(account, tokens, this.now);
        if (outcome.admitted) {
            return true;
        }
        if (outcome.needsReport) {
            return this.spendAfterReport(name, tokens, SpendCause.OwnRequest);
        }
        for (const holder of outcome.holders.slice(0, 2)) {
            this.calls += 1;
            if (this.reaches(name, holder)) {
                const { ledger: holding } = this.router(holder);
                const granted = holding.spend(account, tokens, this.now, SpendCause.Grant);
                if (!granted.admitted && !granted.needsReport) {
                    ledger.recordDenial(account, tokens, granted, this.now);
                }
                return granted.admitted
                    || (granted.needsReport && this.spendAfterReport(holder, tokens, SpendCause.Grant));
            }
        }
        return outcome.holders.length > 0
            && ledger.spend(account, tokens, this.now, SpendCause.NoHolder).admitted;
    }

    private spendAfterReport(name: string, tokens: number, cause: SpendCause): boolean {
        const router = this.router(name);
        for (const holder of router.ledger.holdersOf(account)) {
            if (holder !== name && this.reaches(name, holder)) {
                this.calls += 1;
                this.exchange(router, this.router(holder));
            }
        }
        return router.ledger.spend(account, tokens, this.now, cause).admitted;
    }

    private exchangeSomePairs(step: number): void {
        const probability = step / exchangeInterval(this.size);
        for (const [index, first] of this.routers.entries()) {
            for (const second of this.routers.slice(index + 1)) {
                const isDue = this.random.unit() < probability
                    || this.now - (first.heardAt.get(second.name) ?? -Infinity)
                        >= exchangeInterval(this.size);
                if (isDue && this.reaches(first.name, second.name)) {
                    this.exchange(first, second);
                }
            }
        }
        if (this.now % 150 === 0) {
            this.updateFleets();
        }
    }

    private exchange(first: SimulatedRouter, second: SimulatedRouter): void {
        for (const [from, to] of [[first, second], [second, first]]) {
            const isYounger = from.startedAt > to.startedAt;
            const incarnation = `${from.name} ${from.starts}`;
            to.ledger.observe({ incarnation, isYounger }, from.ledger.spent(), this.now);
            const isAdopting = to.starts > 1 && this.now - to.startedAt <= adoptionPeriod;
            if (isAdopting && (from.starts === 1 || this.now - from.startedAt > adoptionPeriod)) {
                to.ledger.adopt(from.ledger.levels(this.now), this.now);
            }
            from.ledger.recordDelivery(to.name, from.ledger.spent());
            to.heardAt.set(from.name, this.now);
        }
    }

    private updateFleets(): void {
        for (const { heardAt, ledger } of this.routers) {
            const isLive = (at: number) => this.now - at < liveTime(this.size);
            const live = [...heardAt].filter(([, at]) => isLive(at)).map(([name]) => name);
            const unresponsive = [...heardAt].filter(([, at]) => !isLive(at)).map(([name]) => name);
            ledger.updateFleet({ live, unresponsive }, this.now);
        }
    }

    private others(router: SimulatedRouter): SimulatedRouter[] {
        return this.routers.filter((other) => other !== router);
    }

    private router(name: string): SimulatedRouter {
        return this.routers[Number(name.slice("router-".length))];
    }

    private reaches(first: string, second: string): boolean {
        const [left, right] = [first, second].map((name) => this.router(name));
        const side = ({ name }: SimulatedRouter) => this.sideOf(Number(name.slice("router-".length)));
        return !left.isDown && !right.isDown && side(left) === side(right);
    }

    /** Indexes of the routers that hold the account at first. */
    holders(): number[] {
        return this.routers[0].ledger.holdersOf(account).map((name) => Number(name.slice("router-".length)));
    }

    /** Most tokens by which a window exceeds what rate and burst allow in it. */
    overspent(): number {
        let first = 0;
        let sum = 0;
        let most = -Infinity;
        for (const { at, tokens } of this.admitted) {
            sum += tokens;
            while (this.admitted[first].at <= at - window) {
                sum -= this.admitted[first].tokens;
                first += 1;
            }
            most = Math.max(most, sum - rate * window / 1_000 - burst);
        }
        return most;
    }
}

describe("holders of an account", () => {
    for (const size of [5, 30, 68, 150]) {
        // Guards against routers of a large fleet that refuse requests although the account has many times their tokens.
        it(`admit what is within the rate in a fleet of ${size} routers`, () => {
            const fleet = new SimulatedFleet(size, size);
            fleet.run(10_000, 0.6 * rate);
            expect(fleet.refused).to.equal(0);
        });

        it(`keep an account at five times its rate within it in a fleet of ${size} routers, and use the rate`, () => {
            const fleet = new SimulatedFleet(size, size);
            fleet.run(20_000, 5 * rate);
            expect(fleet.overspent()).to.be.at.most(toleratedTokens);
            const spent = fleet.admitted.reduce((sum, { tokens }) => sum + tokens, 0);
            expect(spent).to.be.at.least(0.95 * (burst + 20 * rate));
        });
    }

    // Guards against routers that call all others for nearly every request.
    for (const size of [30, 68, 150]) {
        it(`are called at most twice for a request in a fleet of ${size} routers`, () => {
            const fleet = new SimulatedFleet(size, 7);
            fleet.run(10_000, 0.6 * rate);
            expect(fleet.calls / fleet.offered).to.be.at.most(2);
        });
    }

    it("stay within rate and tolerance while the fleet is divided at random, on 12 seeds", () => {
        for (let seed = 1; seed <= 12; seed++) {
            const random = seededRandom(seed);
            const fleet = new SimulatedFleet(9 + random.integerBelow(30), seed);
            for (let part = 0; part < 5; part++) {
                const sides = Array.from({ length: fleet.size }, () => random.integerBelow(2));
                fleet.partition((router) => part % 2 === 0 ? 0 : sides[router]);
                fleet.run(1_000 + random.integerBelow(5_000), 4 * rate);
            }
            expect(fleet.overspent(), `seed ${seed}`).to.be.at.most(toleratedTokens);
        }
    });

    it("stay within rate and tolerance while routers are killed and start again, on 12 seeds", () => {
        for (let seed = 1; seed <= 12; seed++) {
            const random = seededRandom(seed);
            const fleet = new SimulatedFleet(9 + random.integerBelow(30), seed);
            const holders = fleet.holders();
            for (let step = 0; step < 8; step++) {
                const router = random.unit() < 0.5
                    ? holders[random.integerBelow(holders.length)]
                    : random.integerBelow(fleet.size);
                fleet.kill(router);
                fleet.run(200 + random.integerBelow(3_000), 4 * rate);
                fleet.restart(router);
                fleet.run(200 + random.integerBelow(3_000), 4 * rate);
            }
            expect(fleet.overspent(), `seed ${seed}`).to.be.at.most(toleratedTokens);
        }
    });

    it("leave every side of a partition a part of the rate", () => {
        const names = Array.from({ length: 20 }, (_, index) => `router-${index}`);
        const ledger = new SharedLedger({ startsFull: true, tolerance: noTolerance, ownName: names[0] });
        ledger.configure([accountFixture({ tokensPerSecond: 1_000, burstTokens: 1_000 })], 0);
        ledger.updateFleet({ live: names.slice(1), unresponsive: [] }, 0);
        const holders = ledger.holdersOf(account);
        const others = names.slice(1).filter((name) => !holders.includes(name));
        ledger.updateFleet({ live: others, unresponsive: holders.filter((name) => name !== names[0]) }, 0);
        const [{ tokens }] = ledger.levels(0);
        expect(tokens).to.be.within(400, 800);
    });
});

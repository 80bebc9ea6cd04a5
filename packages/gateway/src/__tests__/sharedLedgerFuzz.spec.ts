import { seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import { noTolerance, SharedLedger, SpendingRelay } from "../index.js";
import { accountFixture } from "./gatewayFixture.js";

const routers = 3;
const step = 50;
const steps = 240;
const rate = 1_000;
const burst = 5_000;
const tolerance = 4_000;
const liveTime = 1_500;
const unheardAfter = 700;
const requestTokens = 250;

/** A period in which two routers cannot reach each other. */
interface Partition {
    readonly from: number;
    readonly length: number;
    readonly pair: number;
}

const pairs = [[0, 1], [0, 2], [1, 2]];

/** Simulates routers at full demand under partitions; returns the time at which each request was admitted. */
function simulate(seed: number, partitions: readonly Partition[], restartAt: number): number[] {
    const random = seededRandom(seed);
    const create = (startsFull: boolean, router: number) => {
        const ledger = new SharedLedger({
            startsFull,
            tolerance: { ...noTolerance, tokens: tolerance },
            ownName: `r${router}`,
        });
        ledger.configure([accountFixture({ tokensPerSecond: rate, burstTokens: burst })], 0);
        return ledger;
    };
    const ledgers = Array.from({ length: routers }, (_, index) => create(true, index));
    const incarnations = ledgers.map((_, index) => `r${index}`);
    const startedAt = ledgers.map(() => 0);
    const lastContact = ledgers.map(() => ledgers.map(() => 0));
    const relays = ledgers.map(() => new SpendingRelay());
    const adoptedFrom = new Set<number>();
    const admitted: number[] = [];
    const unheardBy = (router: number, now: number) =>
        [0, 1, 2].filter((other) => other !== router && now - lastContact[router][other] > unheardAfter)
            .map((other) => `r${other}`);
    for (let count = 1; count <= steps; count++) {
        const now = count * step;
        const isPartitioned = (left: number, right: number) =>
            partitions.some(({ from, length, pair }) =>
                now >= from && now < from + length && pairs[pair].includes(left)
                && pairs[pair].includes(right)
            );
        if (count === restartAt) {
            ledgers[0] = create(false, 0);
            incarnations[0] = "r0 restarted";
            relays[0] = new SpendingRelay();
            startedAt[0] = now;
        }
        for (let from = 0; from < routers; from++) {
            for (let to = 0; to < routers; to++) {
                if (from !== to && !isPartitioned(from, to) && random.unit() < 0.5) {
                    const report = ledgers[from].spent();
                    const isYounger = startedAt[from] > startedAt[to];
                    ledgers[to].observe({ incarnation: incarnations[from], isYounger }, report, now);
                    if (startedAt[from] === 0 && startedAt[to] > 0 && !adoptedFrom.has(from)) {
                        // A report to a router that has just started also contains the levels.
                        adoptedFrom.add(from);
                        ledgers[to].adopt(ledgers[from].levels(now), now);
                    }
                    ledgers[from].recordDelivery(`r${to}`, report);
                    const age = now - startedAt[from];
                    const missing = unheardBy(from, now);
                    relays[to].recordReport(
                        `r${from}`,
                        { incarnation: incarnations[from], age, missing },
                        now,
                    );
                    const spentBy = (incarnation: string) => ledgers[from].spentBy(incarnation);
                    for (const relayed of relays[from].spendingFor(incarnations[to], spentBy, now)) {
                        const peer = {
                            incarnation: relayed.incarnation,
                            isYounger: relayed.age < now - startedAt[to],
                        };
                        ledgers[to].observeRelayed(peer, relayed.spent, now);
                    }
                    lastContact[to][from] = now;
                }
            }
        }
        ledgers.forEach((ledger, index) => {
            const others = [0, 1, 2].filter((other) => other !== index);
            const live = others.filter((other) => now - lastContact[index][other] < liveTime);
            const unresponsive = others.filter((other) => !live.includes(other));
            ledger.updateFleet(
                {
                    live: live.map((other) => `r${other}`),
                    unresponsive: unresponsive.map((other) => `r${other}`),
                },
                now,
            );
            for (let request = random.integerBelow(8); request > 0; request--) {
                if (ledger.spend("makers", requestTokens, now).admitted) {
                    admitted.push(now);
                }
            }
        });
    }
    return admitted;
}

describe("shared ledger under partitions and restarts", () => {
    it("keeps every interval within rate, burst and tolerance", () => {
        const partition = fc.record({
            from: fc.integer({ min: 0, max: steps * step }),
            length: fc.integer({ min: 100, max: 6_000 }),
            pair: fc.integer({ min: 0, max: 2 }),
        });
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 1_000_000 }),
                fc.array(partition, { maxLength: 4 }),
                fc.integer({ min: 1, max: steps }),
                (seed, partitions, restartAt) => {
                    const admitted = simulate(seed, partitions, restartAt);
                    for (let first = 0; first < admitted.length; first += 7) {
                        for (let last = first; last < admitted.length; last += 7) {
                            const tokens = (last - first + 1) * requestTokens;
                            const length = admitted[last] - admitted[first];
                            const bound = burst + rate * length / 1_000 + tolerance;
                            expect(tokens, `from ${admitted[first]} to ${admitted[last]}`).to.be.at.most(
                                bound,
                            );
                        }
                    }
                },
            ),
            { seed: 20_261_204, numRuns: 60 },
        );
    });
});

import { seededRandom } from "@redwingpin/common";
import {
    AccountWork,
    AfterHold,
    afterHold,
    expectedRunning,
    type HoldEnd,
    maxHold,
    roomAtEndpoint,
    WaitingRequests,
} from "../../index.js";

/** How routers place requests: at once by the known load, at once by their own load only, or with the queue. */
export type Placement = "sendAtOnce" | "leastRequests" | "queue";

/** A service of endpoints with slots and a short queue, behind routers that report their loads to each other. */
export interface SimulationOptions {
    readonly placement: Placement;
    readonly seed: number;
    readonly routers: number;
    readonly endpoints: number;
    /** Requests per second of each account, over all routers, in the given second. */
    readonly rate: (account: string, second: number) => number;
    readonly accounts: readonly string[];
    readonly duration: number;
    readonly targetLatency: number;
}

/** What the callers of one account experienced. */
export interface AccountResult {
    requests: number;
    /** Rejected by an endpoint whose queue was full. */
    rejected: number;
    /** Refused by a router. */
    refused: number;
    /** Times from arrival to start in milliseconds. */
    readonly waits: number[];
    /** Times spent in a router's queue, of the requests that were held. */
    readonly holds: number[];
}

const slots = 6;
const queueLimit = 24;
const reportInterval = 500;
const meanDuration = 30;
const timeLimit = 2_000;

interface Endpoint {
    running: number;
    readonly queue: (() => void)[];
}

interface Router {
    readonly own: number[];
    /** Last reported loads of the other routers, by router and endpoint. */
    readonly others: number[][];
    readonly work: AccountWork;
    readonly waiting: WaitingRequests;
}

/** Runs the simulation; all times are simulated. */
export function simulateSharedService(options: SimulationOptions): Map<string, AccountResult> {
    const { accounts, placement, targetLatency } = options;
    const random = seededRandom(options.seed);
    const events: { at: number; run: () => void; }[][] = [];
    const settings = {
        enabled: true,
        fairShares: true,
        endpointQueue: queueLimit,
        bounds: { requests: 256, bytes: 1_000_000 },
    };
    let now = 0;
    // Events are in buckets of a millisecond.
    const schedule = (delay: number, run: () => void) => {
        const at = now + delay;
        (events[Math.floor(at)] ??= []).push({ at, run });
    };
    const endpoints: Endpoint[] = Array.from(
        { length: options.endpoints },
        () => ({ running: 0, queue: [] }),
    );
    const routers: Router[] = Array.from({ length: options.routers }, () => {
        const work = new AccountWork();
        return {
            own: endpoints.map(() => 0),
            others: Array.from({ length: options.routers }, () => endpoints.map(() => 0)),
            work,
            waiting: new WaitingRequests(work, () => settings.bounds),
        };
    });
    const results = new Map<string, AccountResult>(
        accounts.map((name) => [name, { requests: 0, rejected: 0, refused: 0, waits: [], holds: [] }]),
    );
    // Mean of 30 ms; one request in ten takes five times the mean.
    const duration = () => random.unit() < 0.1 ? 150 : 33.3 * random.unit();

    const othersAt = (router: Router, endpoint: number) =>
        router.others.reduce((sum, loads) => sum + loads[endpoint], 0);
    const lowest = (loads: readonly number[]) => loads.indexOf(Math.min(...loads));
    const reportedLoads = (router: Router) =>
        endpoints.map((_, endpoint) => router.own[endpoint] + othersAt(router, endpoint));
    /** Equal loads are told apart at random. */
    const ownLoads = (router: Router) => router.own.map((load) => load + random.unit() / 100);
    const expectedOthers = (router: Router) =>
        expectedRunning(
            endpoints.map((_, endpoint) => ({
                running: othersAt(router, endpoint),
                age: reportInterval / 2,
            })),
            meanDuration,
        );
    const expectedLoads = (router: Router) => {
        const others = expectedOthers(router);
        return ownLoads(router).map((load, endpoint) => load + others[endpoint]);
    };
    const send = (router: Router, endpoint: number, result: AccountResult, arrival: number) => {
        const target = endpoints[endpoint];
        router.own[endpoint] += 1;
        const start = () => {
            target.running += 1;
            result.waits.push(now - arrival);
            schedule(duration(), () => {
                target.running -= 1;
                router.own[endpoint] -= 1;
                target.queue.shift()?.();
                router.waiting.advance(now);
            });
        };
        if (target.running < slots) {
            start();
        }
        else if (target.queue.length < queueLimit) {
            target.queue.push(start);
        }
        else {
            router.own[endpoint] -= 1;
            result.rejected += 1;
        }
    };
    const withRoom = (router: Router): number | undefined => {
        const others = expectedOthers(router);
        const loads = expectedLoads(router).map((load, endpoint) => {
            const occupancy = {
                slots,
                queue: queueLimit,
                own: router.own[endpoint],
                others: others[endpoint],
                routers: routers.length,
            };
            return roomAtEndpoint(occupancy) > 0 ? load : Infinity;
        });
        const endpoint = lowest(loads);
        return Number.isFinite(loads[endpoint]) ? endpoint : undefined;
    };
    const arrive = (router: Router, account: string) => {
        const result = results.get(account)!;
        const arrival = now;
        result.requests += 1;
        if (placement !== "queue") {
            const loads = placement === "sendAtOnce" ? reportedLoads(router) : ownLoads(router);
            send(router, lowest(loads), result, arrival);
            return;
        }
        const tryStart = () => {
            const endpoint = withRoom(router);
            if (endpoint !== undefined) {
                router.work.record(account, 1, now);
                send(router, endpoint, result, arrival);
            }
            return endpoint !== undefined;
        };
        if (router.waiting.length === 0 && tryStart()) {
            return;
        }
        const settle = (end: HoldEnd) => {
            result.holds.push(now - arrival);
            if (end.kind === "start") {
                return;
            }
            const isAboveShare = router.work.isAboveShare(account, now);
            if (afterHold({ end, isAboveShare, settings }) === AfterHold.Send) {
                router.work.record(account, 1, now);
                send(router, lowest(expectedLoads(router)), result, arrival);
            }
            else {
                result.refused += 1;
            }
        };
        const hold = maxHold(targetLatency);
        router.waiting.add({
            account,
            weight: 1,
            urgency: 0,
            bytes: 0,
            deadline: arrival + timeLimit,
            waitUntil: arrival + hold,
            minDuration: 0,
            hasCallerLeft: () => false,
            tryStart,
            settle,
        }, now);
        router.waiting.advance(now);
        schedule(hold, () => router.waiting.advance(now));
    };
    const report = (index: number) => {
        const { own, work } = routers[index];
        const loads = [...own];
        const rows = work.report(now);
        routers.filter((_, other) => other !== index).forEach((router) => {
            router.others[index] = loads;
            router.work.observe(String(index), rows, now);
        });
        schedule(reportInterval, () => report(index));
    };
    const generate = (account: string) => {
        const rate = options.rate(account, now / 1_000);
        schedule(-Math.log(1 - random.unit()) * 1_000 / rate, () => {
            generate(account);
            arrive(routers[random.integerBelow(routers.length)], account);
        });
    };
    accounts.forEach(generate);
    routers.forEach((_, index) => schedule(random.unit() * reportInterval, () => report(index)));
    for (let bucket = 0; bucket < options.duration; bucket++) {
        let batch = events[bucket];
        while (batch !== undefined && batch.length > 0) {
            events[bucket] = [];
            for (const { at, run } of batch.sort((left, right) => left.at - right.at)) {
                now = Math.max(now, at);
                run();
            }
            batch = events[bucket];
        }
        delete events[bucket];
    }
    return results;
}

/** Sum of the results of some accounts. */
export function totalOf(
    results: ReadonlyMap<string, AccountResult>,
    accounts: readonly string[],
): AccountResult {
    const total: AccountResult = { requests: 0, rejected: 0, refused: 0, waits: [], holds: [] };
    for (const account of accounts) {
        const result = results.get(account)!;
        total.requests += result.requests;
        total.rejected += result.rejected;
        total.refused += result.refused;
        result.waits.forEach((wait) => total.waits.push(wait));
        result.holds.forEach((hold) => total.holds.push(hold));
    }
    return total;
}

/** The value below which the given share of the values is. */
export function quantile(values: readonly number[], share: number): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length * share)] ?? 0;
}

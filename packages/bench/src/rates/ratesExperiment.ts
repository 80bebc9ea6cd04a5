/**
 * Plays each fault under each policy on a fake clock, and measures overspend, wrongful refusals and messages.
 *
 * @module
 */
import {
    idealAdmissions,
    type OfferedRequest,
    offersWithinRate,
    RateFleet,
} from "@redwingpin/admission/trial";
import { type Milliseconds, type RandomSource, seededRandom } from "@redwingpin/common";
import { quantilesOf } from "../quantiles.js";
import { type RatesDeployment, RatesPolicy, slotsOf } from "./ratesDeployments.js";
import { type FaultContext, offeredLoad, type RatesFault } from "./ratesFaults.js";

/** Figures of one case under one policy. */
export interface RatesRow {
    readonly deployment: string;
    readonly fault: string;
    readonly policy: RatesPolicy;
    /** Requests offered by accounts within their rate. */
    readonly offered: number;
    /** Of these, requests refused though all that their account had offered was inside its rate and burst. */
    readonly refusedWithinRate: number;
    /** Of these, requests refused though a bucket for the whole fleet that never fails would admit them. */
    readonly refusedAgainstIdeal: number;
    /** Tokens by which any account exceeded its bound in its worst interval. */
    readonly overspentTokens: number;
    /** Tokens that the account above its rate got, as a part of its rate; absent where none is above. */
    readonly shareOfRate: number | undefined;
    /** Time that admitted requests waited, in milliseconds. */
    readonly waitP50: number;
    readonly waitP99: number;
    /** Control messages a second, answers included, over all routers. */
    readonly messagesPerSecond: number;
    /** Control bytes that one router sends a second. */
    readonly bytesPerSecondPerRouter: number;
    /** Calls to the store in the measured time. */
    readonly storeCalls: number;
}

/** What is played. */
export interface RatesRun {
    readonly deployment: RatesDeployment;
    readonly fault: RatesFault;
    readonly policy: RatesPolicy;
    readonly seed: number;
}

const fillTime: Milliseconds = 9_000;
const warmTime: Milliseconds = 3_000;
const settleTime: Milliseconds = 3_000;
const promptTokens = { from: 1_000, to: 2_600 };
const outputTokens = 300;
const meanCost = (promptTokens.from + promptTokens.to) / 2 + outputTokens / 2;
/** Part of an account's requests that come through the router to which its connections stick. */
const stickyShare = 0.6;
const step: Milliseconds = 1;

/** Plays one case. */
export async function runRates(run: RatesRun): Promise<RatesRow> {
    const random = seededRandom(run.seed);
    const { deployment, policy } = run;
    const fleet = new RateFleet({
        routers: deployment.routers,
        accounts: deployment.accounts,
        random,
        step,
        slots: slotsOf(policy, deployment.routers),
        asksOthers: policy !== RatesPolicy.EqualStatic,
    });
    const load = new RatesLoad(fleet, run, random);
    await fleet.pass(fillTime);
    await load.play(warmTime, []);
    const before = { ...fleet.network.counts };
    const callsBefore = fleet.store.counts.reads + fleet.store.counts.writes;
    const start = fleet.clock.now();
    const admittedBefore = fleet.admittedTokens(deployment.accounts[0].name);
    await load.play(run.fault.duration, run.fault.steps);
    const after = { ...fleet.network.counts };
    const storeCalls = fleet.store.counts.reads + fleet.store.counts.writes - callsBefore;
    await fleet.pass(settleTime);
    const admitted = fleet.admittedTokens(deployment.accounts[0].name) - admittedBefore;
    const seconds = run.fault.duration / 1_000;
    return {
        ...describeOffers(run, fleet.offered, start),
        overspentTokens: Math.max(...fleet.overspent().values()),
        shareOfRate: isAbove(run) ? admitted / (deployment.accounts[0].tokensPerSecond * seconds) : undefined,
        messagesPerSecond: (after.messages - before.messages) / seconds,
        bytesPerSecondPerRouter: (after.bytes - before.bytes) / seconds / deployment.routers,
        storeCalls,
    };
}

function isAbove(run: RatesRun): boolean {
    return (run.fault.firstAccountLoad ?? 0) > 1;
}

function describeOffers(run: RatesRun, offers: readonly OfferedRequest[], start: Milliseconds) {
    const excluded = isAbove(run) ? run.deployment.accounts[0].name : undefined;
    const within = offers.filter((offer) =>
        offer.at >= start && offer.account !== excluded && offer.outcome !== undefined
    );
    const waits = within
        .filter((offer) => offer.outcome === "admitted")
        .map((offer) => offer.decidedAt! - offer.at);
    const quantiles = quantilesOf(waits);
    const refused = within.filter((offer) => offer.outcome !== "admitted");
    const inside = judgedBy(offersWithinRate, run, offers);
    const ideal = judgedBy(idealAdmissions, run, offers);
    return {
        deployment: run.deployment.name,
        fault: run.fault.name,
        policy: run.policy,
        offered: within.length,
        refusedWithinRate: refused.filter((offer) => inside.has(offer)).length,
        refusedAgainstIdeal: refused.filter((offer) => ideal.has(offer)).length,
        waitP50: quantiles.median,
        waitP99: quantiles.p99,
    };
}

/** Puts the offers of each account to a yardstick. */
function judgedBy(
    yardstick: typeof idealAdmissions,
    run: RatesRun,
    offers: readonly OfferedRequest[],
): ReadonlySet<OfferedRequest> {
    const byAccount = new Map<string, OfferedRequest[]>(
        run.deployment.accounts.map(({ name }) => [name, []]),
    );
    offers.forEach((offer) => byAccount.get(offer.account)!.push(offer));
    const factor = run.fault.limitFactor ?? 1;
    const admitted = run.deployment.accounts.map((account, index) => {
        const part = index === 0 ? factor : 1;
        const { tokensPerSecond, burstTokens } = account;
        const limits = { tokensPerSecond: tokensPerSecond * part, burstTokens: burstTokens * part };
        return yardstick(byAccount.get(account.name)!, limits);
    });
    return new Set(admitted.flatMap((set) => [...set]));
}

/** Requests of every account, at random times with a constant mean rate. */
class RatesLoad {
    private readonly next: Milliseconds[];
    private readonly context: FaultContext;

    constructor(
        private readonly fleet: RateFleet,
        private readonly run: RatesRun,
        private readonly random: RandomSource,
    ) {
        const { accounts, routers } = run.deployment;
        this.context = { accounts, routers };
        this.next = accounts.map((_, index) => fillTime + this.interval(index, 1));
    }

    /** Offers requests for `duration`, and applies the steps at their times. */
    async play(duration: Milliseconds, steps: RatesRun["fault"]["steps"]): Promise<void> {
        const start = this.fleet.clock.now();
        const pending = [...steps];
        const measured = duration !== warmTime;
        this.next.forEach((_, index) =>
            this.next[index] = start + this.interval(index, this.loadOf(index, measured))
        );
        while (this.fleet.clock.now() - start < duration) {
            while (pending.length > 0 && start + pending[0].at <= this.fleet.clock.now()) {
                pending.shift()!.apply(this.fleet, this.context);
            }
            this.offerDue(measured);
            await this.fleet.pass(step);
        }
    }

    private offerDue(measured: boolean): void {
        const now = this.fleet.clock.now();
        for (const [index, due] of this.next.entries()) {
            if (due <= now) {
                this.offer(index);
                this.next[index] = due + this.interval(index, this.loadOf(index, measured));
            }
        }
    }

    private offer(index: number): void {
        const router = this.chooseRouter(index);
        if (router === undefined) {
            return;
        }
        const prompt = promptTokens.from + this.random.integerBelow(promptTokens.to - promptTokens.from);
        const actual = prompt + this.random.integerBelow(outputTokens);
        const { name } = this.run.deployment.accounts[index];
        this.fleet.offer(
            router,
            name,
            prompt + outputTokens,
            actual,
            this.run.deployment.requestMilliseconds,
        );
    }

    /** The balancer: callers stick to one router, and go to another where it does not run. */
    private chooseRouter(index: number): number | undefined {
        const { routers } = this.run.deployment;
        const home = index % routers;
        if (this.random.unit() < stickyShare && this.fleet.runs(home)) {
            return home;
        }
        const running = [...Array(routers).keys()].filter((router) => this.fleet.runs(router));
        return running[this.random.integerBelow(Math.max(1, running.length))];
    }

    private loadOf(index: number, measured: boolean): number {
        return index === 0 && measured ? this.run.fault.firstAccountLoad ?? offeredLoad : offeredLoad;
    }

    private interval(index: number, load: number): Milliseconds {
        const { tokensPerSecond } = this.run.deployment.accounts[index];
        const mean = meanCost * 1_000 / (tokensPerSecond * load);
        return -Math.log(1 - this.random.unit()) * mean;
    }
}

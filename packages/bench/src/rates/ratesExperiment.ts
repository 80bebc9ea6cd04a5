/**
 * Simulates one fault under one policy on a fake clock, and measures overspending, wrongful refusals and messages.
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
import { type RatesDeployment, RatesPolicy, slotCountFor } from "./ratesDeployments.js";
import { type FaultContext, offeredLoad, type RatesFault } from "./ratesFaults.js";

/** Results of one case under one policy. They are printed as JSON under these names. */
export interface RatesRow {
    readonly deployment: string;
    readonly fault: string;
    readonly policy: RatesPolicy;
    /** Requests offered by accounts within their rate. */
    readonly offered: number;
    /** Of these, requests refused although all that their account had offered was within its rate and burst. */
    readonly refusedWithinRate: number;
    /** Of these, requests refused although one central token bucket without failures would admit them. */
    readonly refusedAgainstIdeal: number;
    /** Tokens spent above an account's limit in its worst interval; maximum over accounts. */
    readonly overspentTokens: number;
    /** Tokens admitted for the account that exceeds its rate, divided by its rate; `undefined` if none exceeds it. */
    readonly shareOfRate: number | undefined;
    /** Milliseconds that admitted requests waited for their admission. */
    readonly waitP50: number;
    readonly waitP99: number;
    /** Control messages per second of all routers, answers included. */
    readonly messagesPerSecond: number;
    /** Control bytes per second that one router sends. */
    readonly bytesPerSecondPerRouter: number;
    /** Store calls during the measurement. */
    readonly storeCalls: number;
}

/** Options of {@link runRates}. */
export interface RatesRun {
    readonly deployment: RatesDeployment;
    readonly fault: RatesFault;
    readonly policy: RatesPolicy;
    readonly seed: number;
}

const bucketFillTime: Milliseconds = 9_000;
const warmUpTime: Milliseconds = 3_000;
const settleTime: Milliseconds = 9_000;
const promptTokens = { from: 1_000, to: 2_600 };
const outputTokens = 300;
const meanCost = (promptTokens.from + promptTokens.to) / 2 + outputTokens / 2;
/** Share of an account's requests that use a sticky connection to its preferred router. */
const stickyShare = 0.6;
const step: Milliseconds = 1;

/** Simulates one case. */
export async function runRates(run: RatesRun): Promise<RatesRow> {
    const random = seededRandom(run.seed);
    const { deployment, policy } = run;
    const fleet = new RateFleet({
        routers: deployment.routers,
        accounts: deployment.accounts,
        random,
        step,
        slots: slotCountFor(policy, deployment.routers),
        requestsFromOthers: policy !== RatesPolicy.EqualStatic,
    });
    const loadGenerator = new LoadGenerator(fleet, run, random);
    await fleet.advance(bucketFillTime);
    await loadGenerator.generate(warmUpTime, []);
    const before = { ...fleet.network.counts };
    const callsBefore = fleet.store.counts.reads + fleet.store.counts.writes;
    const start = fleet.clock.now();
    const admittedBefore = fleet.admittedTokens(deployment.accounts[0].name);
    await loadGenerator.generate(run.fault.duration, run.fault.steps);
    const after = { ...fleet.network.counts };
    const storeCalls = fleet.store.counts.reads + fleet.store.counts.writes - callsBefore;
    await fleet.advance(settleTime);
    const admitted = fleet.admittedTokens(deployment.accounts[0].name) - admittedBefore;
    const seconds = run.fault.duration / 1_000;
    return {
        ...summarizeOffers(run, fleet.offered, start),
        overspentTokens: Math.max(...fleet.overspent().values()),
        shareOfRate: exceedsRate(run)
            ? admitted / (deployment.accounts[0].tokensPerSecond * seconds)
            : undefined,
        messagesPerSecond: (after.messages - before.messages) / seconds,
        bytesPerSecondPerRouter: (after.bytes - before.bytes) / seconds / deployment.routers,
        storeCalls,
    };
}

function exceedsRate(run: RatesRun): boolean {
    return (run.fault.firstAccountLoad ?? 0) > 1;
}

function summarizeOffers(run: RatesRun, offers: readonly OfferedRequest[], start: Milliseconds) {
    const excluded = exceedsRate(run) ? run.deployment.accounts[0].name : undefined;
    const withinRate = offers.filter((offer) =>
        offer.at >= start && offer.account !== excluded && offer.outcome !== undefined
    );
    const waits = withinRate
        .filter((offer) => offer.outcome === "admitted")
        .map((offer) => offer.decidedAt! - offer.at);
    const quantiles = quantilesOf(waits);
    const refused = withinRate.filter((offer) => offer.outcome !== "admitted");
    const admittedWithinRate = admittedUnder(offersWithinRate, run, offers);
    const admittedByIdeal = admittedUnder(idealAdmissions, run, offers);
    return {
        deployment: run.deployment.name,
        fault: run.fault.name,
        policy: run.policy,
        offered: withinRate.length,
        refusedWithinRate: refused.filter((offer) => admittedWithinRate.has(offer)).length,
        refusedAgainstIdeal: refused.filter((offer) => admittedByIdeal.has(offer)).length,
        waitP50: quantiles.median,
        waitP99: quantiles.p99,
    };
}

/** Returns the offers that the reference model admits, applied to each account separately. */
function admittedUnder(
    reference: typeof idealAdmissions,
    run: RatesRun,
    offers: readonly OfferedRequest[],
): ReadonlySet<OfferedRequest> {
    const byAccount = new Map<string, OfferedRequest[]>(
        run.deployment.accounts.map(({ name }) => [name, []]),
    );
    offers.forEach((offer) => byAccount.get(offer.account)!.push(offer));
    const factor = run.fault.limitFactor ?? 1;
    const admitted = run.deployment.accounts.map((account, index) => {
        const accountFactor = index === 0 ? factor : 1;
        const { tokensPerSecond, burstTokens } = account;
        const limits = {
            tokensPerSecond: tokensPerSecond * accountFactor,
            burstTokens: burstTokens * accountFactor,
        };
        return reference(byAccount.get(account.name)!, limits);
    });
    return new Set(admitted.flatMap((set) => [...set]));
}

/** Offers requests of every account, at random times with a constant mean rate. */
class LoadGenerator {
    private readonly nextArrivals: Milliseconds[];
    private readonly context: FaultContext;

    constructor(
        private readonly fleet: RateFleet,
        private readonly run: RatesRun,
        private readonly random: RandomSource,
    ) {
        const { accounts, routers } = run.deployment;
        this.context = { accounts, routers };
        this.nextArrivals = accounts.map((_, index) => bucketFillTime + this.randomInterval(index, 1));
    }

    /** Offers requests for `duration`, and applies the fault's steps at their times. */
    async generate(duration: Milliseconds, steps: RatesRun["fault"]["steps"]): Promise<void> {
        const start = this.fleet.clock.now();
        const pendingSteps = [...steps];
        const isMeasured = duration !== warmUpTime;
        this.nextArrivals.forEach((_, index) =>
            this.nextArrivals[index] = start + this.randomInterval(index, this.loadOf(index, isMeasured))
        );
        while (this.fleet.clock.now() - start < duration) {
            while (pendingSteps.length > 0 && start + pendingSteps[0].at <= this.fleet.clock.now()) {
                pendingSteps.shift()!.apply(this.fleet, this.context);
            }
            this.offerDueRequests(isMeasured);
            await this.fleet.advance(step);
        }
    }

    private offerDueRequests(isMeasured: boolean): void {
        const now = this.fleet.clock.now();
        for (const [index, due] of this.nextArrivals.entries()) {
            if (due <= now) {
                this.offer(index);
                this.nextArrivals[index] = due + this.randomInterval(index, this.loadOf(index, isMeasured));
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

    /**
     * Selects the account's preferred router with a probability of {@link stickyShare} if it runs, as with sticky
     * connections, and otherwise a random running router.
     */
    private chooseRouter(index: number): number | undefined {
        const { routers } = this.run.deployment;
        const preferredRouter = index % routers;
        if (this.random.unit() < stickyShare && this.fleet.isRunning(preferredRouter)) {
            return preferredRouter;
        }
        const running = [...Array(routers).keys()].filter((router) => this.fleet.isRunning(router));
        return running[this.random.integerBelow(Math.max(1, running.length))];
    }

    private loadOf(index: number, isMeasured: boolean): number {
        return index === 0 && isMeasured ? this.run.fault.firstAccountLoad ?? offeredLoad : offeredLoad;
    }

    private randomInterval(index: number, load: number): Milliseconds {
        const { tokensPerSecond } = this.run.deployment.accounts[index];
        const mean = meanCost * 1_000 / (tokensPerSecond * load);
        return -Math.log(1 - this.random.unit()) * mean;
    }
}

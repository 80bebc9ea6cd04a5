import { type Milliseconds, type RandomSource, seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { CrashTracker, survivalTime } from "../index.js";

const seeds = 60;
const duration: Milliseconds = 40_000;
const tick: Milliseconds = 10;
const restartTime: Milliseconds = 3_000;
const exchangeInterval: Milliseconds = 150;

/** Routers that reach each other must share what they know within this time (users' target). */
const contactTime: Milliseconds = 3_000;

/** Crash from which that time counts, and number of requests that may reach an engine later (users' target). */
const crashesBeforeTarget = 5;
const maxLaterArrivals = 3;

/** Share of the sound requests with the same first part that must be served beside those that crash engines (users' target). */
const minServedShare = 0.5;

interface SimulatedRequest {
    readonly fingerprint: string;
    readonly parts: readonly string[];
    readonly isDeadly: boolean;
    readonly router: number;
    readonly sentAt: Milliseconds;
    /** When the engine begins to answer. */
    readonly beginsAt: Milliseconds;
    readonly endsAt: Milliseconds;
    /** When the engine crashes under it; `Infinity` if it does not. */
    readonly crashesAt: Milliseconds;
    readonly attempt: number;
}

/** Routers before engines that crash soon after they begin to answer a request with the part "deadly". */
class SimulatedFleet {
    readonly routers: CrashTracker[];
    readonly crashTimes: Milliseconds[] = [];
    laterArrivals = 0;
    sound = 0;
    soundRefused = 0;
    private readonly engines: { runs: SimulatedRequest[]; downUntil: Milliseconds; starts: number; }[];
    private requests = 0;

    constructor(
        private readonly random: RandomSource,
        private readonly deadlyPosition: number,
        /** Maximum time from the begin of an answer to the crash. */
        private readonly maxCrashDelay: Milliseconds,
        routers: number,
        engines: number,
    ) {
        this.routers = Array.from({ length: routers }, () => new CrashTracker());
        this.engines = Array.from({ length: engines }, () => ({ runs: [], downUntil: 0, starts: 0 }));
    }

    run(requestsPerSecond: number, deadlyShare: number): void {
        for (let now = 0; now < duration; now += tick) {
            if (this.random.unit() < requestsPerSecond * tick / 1_000) {
                this.arrive(now, now > 4_000 && this.random.unit() < deadlyShare);
            }
            this.engines.forEach((_, index) => this.advance(index, now));
            if (now % exchangeInterval === 0) {
                this.exchange(now);
            }
        }
    }

    private arrive(now: Milliseconds, isDeadly: boolean): void {
        this.requests += 1;
        // Requests with the deadly part belong to one of the 40 usual subjects, and to the most frequent outer part.
        const outer = isDeadly ? 0 : Math.floor(this.random.unit() * 4);
        const subject = isDeadly ? 1 : Math.floor(this.random.unit() * 40);
        const parts = [`outer ${outer}`, `subject ${subject}`];
        if (isDeadly) {
            parts.splice(this.deadlyPosition, 0, "deadly");
        }
        const router = Math.floor(this.random.unit() * this.routers.length);
        this.send({ fingerprint: `request ${this.requests}`, parts, isDeadly, router }, now, 1);
    }

    private send(
        request: Pick<SimulatedRequest, "fingerprint" | "parts" | "isDeadly" | "router">,
        now: Milliseconds,
        attempt: number,
    ): void {
        const isRefused =
            this.routers[request.router].refusedUntil(request.fingerprint, request.parts, now) !== undefined;
        const fifth = this.crashTimes[crashesBeforeTarget - 1] ?? Infinity;
        if (!request.isDeadly && request.parts[0] === "outer 0" && now > fifth + 2 * contactTime) {
            this.sound += 1;
            this.soundRefused += isRefused ? 1 : 0;
        }
        const up = this.engines.filter((engine) => engine.downUntil <= now);
        if (isRefused || up.length === 0) {
            return;
        }
        if (request.isDeadly && now > fifth + contactTime) {
            this.laterArrivals += 1;
        }
        const beginsAt = now + 50 + this.random.unit() * 400;
        const endsAt = beginsAt + this.random.unit() * 1_500;
        const crashesAt = request.isDeadly ? beginsAt + this.random.unit() * this.maxCrashDelay : Infinity;
        up[Math.floor(this.random.unit() * up.length)].runs.push({
            ...request,
            sentAt: now,
            beginsAt,
            endsAt: Math.max(endsAt, request.isDeadly ? crashesAt : 0),
            crashesAt,
            attempt,
        });
    }

    private advance(index: number, now: Milliseconds): void {
        const engine = this.engines[index];
        if (engine.runs.some((run) => run.crashesAt <= now)) {
            this.crash(index, now);
            return;
        }
        for (const run of engine.runs) {
            const survivedAt = run.beginsAt + survivalTime;
            if (survivedAt <= now && survivedAt > now - tick) {
                this.routers[run.router].recordSurvival(run.parts, now);
            }
            if (run.endsAt <= now) {
                this.routers[run.router].recordCompletion(run.fingerprint, run.parts, now);
            }
        }
        engine.runs = engine.runs.filter((run) => run.endsAt > now);
    }

    private crash(index: number, now: Milliseconds): void {
        const engine = this.engines[index];
        const { runs } = engine;
        this.crashTimes.push(now);
        engine.runs = [];
        engine.downUntil = now + restartTime;
        engine.starts += 1;
        for (const run of runs) {
            const { fingerprint, parts, sentAt } = run;
            const endpoint = `engine ${index}, start ${engine.starts}`;
            const hasSurvived = run.beginsAt + survivalTime <= now;
            this.routers[run.router].recordCrash({ fingerprint, parts, endpoint, sentAt, hasSurvived }, now);
            if (run.attempt < 2) {
                this.send(run, now, run.attempt + 1);
            }
        }
    }

    private exchange(now: Milliseconds): void {
        this.routers.forEach((sender, from) =>
            this.routers.forEach((receiver, to) => {
                const report = from === to ? undefined : sender.reportFor(`router ${to}`, now);
                if (report !== undefined) {
                    receiver.observe(report, now);
                    sender.recordDelivery(`router ${to}`, report);
                }
            })
        );
    }
}

// Guards against requests that crash one engine after the other because no two of them are alike, and against refusing the
// sound requests beside them, wherever in its prompts the part stands and however often it comes.
describe("crash tracker in a simulated fleet", () => {
    const positions = [["outermost", 0], ["in the middle", 1], ["innermost", 2]] as const;
    const moments = [["begin of the answer", 0], ["first events", survivalTime - tick]] as const;
    const cases = positions.flatMap(([where, position]) =>
        moments.map(([when, maxCrashDelay]) => ({ where, position, when, maxCrashDelay }))
    );
    for (const { maxCrashDelay, position, when, where } of cases) {
        const title =
            `refuses requests with a deadly part that is ${where} and crashes engines at the ${when}`;
        it(`${title}, and not the sound ones, on ${seeds} seeds`, () => {
            let crashes = 0;
            for (let seed = 1; seed <= seeds; seed++) {
                const random = seededRandom(seed);
                const routers = 1 + Math.floor(random.unit() * 8);
                const engines = 4 + Math.floor(random.unit() * 20);
                const fleet = new SimulatedFleet(random, position, maxCrashDelay, routers, engines);
                fleet.run(10 + random.unit() * 30, 0.02 + random.unit() * 0.2);
                const label = `seed ${seed}: ${fleet.crashTimes.join(" ")}`;
                expect(fleet.laterArrivals, label).to.be.at.most(maxLaterArrivals);
                expect(fleet.soundRefused, label).to.be.at.most((1 - minServedShare) * fleet.sound);
                crashes += fleet.crashTimes.length;
            }
            expect(crashes).to.be.greaterThan(seeds);
        });
    }
});

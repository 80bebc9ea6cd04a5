/**
 * Steps that check what must always hold, as far as it can be seen from outside.
 *
 * @module
 */
import { RouteKind } from "@redwingpin/manifest";
import { PlaygroundRole } from "@redwingpin/playground";
import { countTokens, tokenSource } from "@redwingpin/standins";
import { CallEnd, CallKind, type CallRecord } from "../callRecord.js";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";
import { describe, expect } from "./callerSteps.js";

const millisecondsPerSecond = 1_000;
const percent = 100;
const statusOk = 200;

/** Part of what an engine counts. */
interface WorkCounts {
    readonly started: number;
    readonly cancelled: number;
    readonly resumed: number;
}

/** Steps of this subject. */
export const checkSteps: readonly StepDefinition<World>[] = [
    { pattern: "every answer is whole and belongs to its own request", action: checkAnswers },
    { pattern: "no stream that was cut looks complete", action: checkAnswers },
    { pattern: "every call was answered", action: checkAllAnswered },
    { pattern: "no answer was cut", action: checkNoneCut },
    {
        pattern: "{name} {number} gets no new work while {number} more calls end",
        action: async (world, role, number, calls) => {
            const name = `${role}-${number}`;
            const before = (await world.control<WorkCounts>(name, "/control/work")).started;
            const limit = world.records.length + Number(calls);
            await world.until(`${calls} more calls have ended`, () => world.records.length >= limit);
            const after = (await world.control<WorkCounts>(name, "/control/work")).started;
            expect(after === before, `${name} got ${after - before} new requests`);
        },
    },
    {
        pattern: "at most {number} calls failed",
        action: (world, count) => checkFailures(world, Number(count)),
    },
    { pattern: "no endpoint saw a key", action: checkKeys },
    { pattern: "every stamp was executed at most once", action: checkExecutions },
    { pattern: "every answered stamp was executed exactly once", action: checkAnsweredStamps },
    { pattern: "every refusal as not-run is true", action: checkNotRun },
    {
        pattern: "account {name} got at most its rate and burst",
        action: (world, account) => checkRate(world, account!),
    },
    {
        pattern: "no call of account {name} was refused",
        action: (world, account) => {
            const refused = world.records.find((record) =>
                record.account === account && record.end !== CallEnd.Complete
            );
            expect(
                refused === undefined,
                `a call of "${account}" ended with ${refused && describe(refused)}`,
            );
        },
    },
    {
        pattern: "the work of the caller that went away is cancelled",
        action: async (world) => {
            const took = await world.until(
                "an engine has cancelled work",
                async () => await sumWork(world, "cancelled") > 0,
            );
            world.measures.push(`the engine cancelled after ${took} ms`);
        },
    },
    {
        pattern: "at most {number} engines have crashed",
        action: (world, limit) => {
            const crashed = world.namesOf(PlaygroundRole.Engine).filter((name) =>
                !world.playground.child(name).isRunning
            );
            world.measures.push(`${crashed.length} engines crashed`);
            expect(
                crashed.length <= Number(limit),
                `${crashed.length} engines crashed: ${crashed.join(", ")}`,
            );
        },
    },
    {
        pattern: "at least {number} stream was resumed",
        action: async (world, count) => {
            const resumed = await sumWork(world, "resumed");
            expect(resumed >= Number(count), `${resumed} streams were resumed, not ${count}`);
        },
    },
];

/** The text that a call's whole answer must have; undefined for services. */
function expectedText(world: World, record: CallRecord): string | undefined {
    const route = world.manifest.routes.find((candidate) => candidate.name === record.model);
    if (!route || route.kind !== RouteKind.Model) {
        return undefined;
    }
    const model = world.manifest.models.find((candidate) => candidate.name === route.model)!;
    const { weights } = model.versions.find((version) => version.name === route.version)!;
    const tokenAt = tokenSource(weights, route.adapter ?? "", record.prompt);
    return Array.from({ length: record.maximumTokens }, (_, index) => tokenAt(index)).join("");
}

function checkAnswers(world: World): void {
    const ends = new Map<CallEnd, number>();
    for (const record of world.records) {
        ends.set(record.end, (ends.get(record.end) ?? 0) + 1);
        const expected = expectedText(world, record);
        if (expected === undefined) {
            continue;
        }
        const isWhole = record.text === expected;
        const isPart = expected.startsWith(record.text);
        expect(isPart, `${record.identity} got an answer that is not its own: ${describe(record)}`);
        expect(
            record.end !== CallEnd.Complete || isWhole,
            `${record.identity} looks complete and is not: ${describe(record)}`,
        );
    }
    world.measures.push([...ends].map(([end, count]) => `${count} ${end}`).join(", "));
}

function checkAllAnswered(world: World): void {
    checkFailures(world, 0);
}

function checkFailures(world: World, limit: number): void {
    const failed = world.records.filter((record) => record.end !== CallEnd.Complete);
    world.measures.push(`${failed.length} of ${world.records.length} calls failed`);
    const first = failed[0];
    expect(
        failed.length <= limit,
        `${failed.length} of ${world.records.length} calls failed, the first: ${first && describe(first)}`,
    );
    expect(world.records.length > 0, "no call was made");
}

function checkNoneCut(world: World): void {
    const cut = world.records.find((record) => record.end === CallEnd.Cut);
    expect(cut === undefined, `a call was cut: ${cut && describe(cut)}`);
    expect(world.records.length > 0, "no call was made");
}

async function checkKeys(world: World): Promise<void> {
    const seen = await world.seenByEndpoints();
    expect(seen.length > 0, "no endpoint saw any request");
    const text = JSON.stringify(seen);
    for (const { account, key } of world.playground.state.keys) {
        expect(!text.includes(key), `an endpoint saw a key of account "${account}"`);
    }
    world.measures.push(`${seen.length} requests at endpoints without a key`);
}

async function executionsByIdentity(world: World): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const { body } of await world.executions()) {
        const identity = body === "" ? "" : (JSON.parse(body) as { identity: string; }).identity;
        counts.set(identity, (counts.get(identity) ?? 0) + 1);
    }
    return counts;
}

function stampsOf(world: World): CallRecord[] {
    return world.records.filter((record) => record.kind === CallKind.Stamp);
}

async function checkExecutions(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    for (const { identity } of stampsOf(world)) {
        const count = counts.get(identity) ?? 0;
        expect(count <= 1, `the stamp of ${identity} was executed ${count} times`);
    }
    world.measures.push(`${stampsOf(world).length} stamps sent, ${counts.size} executed`);
}

async function checkAnsweredStamps(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    const answered = stampsOf(world).filter((record) => record.end === CallEnd.Complete);
    expect(answered.length > 0, "no stamp was answered");
    for (const { identity } of answered) {
        const count = counts.get(identity) ?? 0;
        expect(count === 1, `the answered stamp of ${identity} was executed ${count} times`);
    }
}

/** A call that was sent more than once is left out where another sending of it was not refused. */
async function checkNotRun(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    const prompts = new Set((await world.seenByEndpoints()).map((seen) => promptOf(seen.body)));
    const refused = world.records.filter((record) => record.outcome === "not-run");
    for (const record of refused) {
        const others = world.records.some((other) =>
            other.identity === record.identity && other.outcome !== "not-run"
        );
        const ran = record.kind === CallKind.Stamp || record.kind === CallKind.Lookup
            ? counts.has(record.identity)
            : prompts.has(record.prompt);
        expect(others || !ran, `${record.identity} was refused as not-run (${describe(record)}) and ran`);
    }
    world.measures.push(`${refused.length} refusals as not-run`);
}

function promptOf(body: string): string | undefined {
    try {
        return (JSON.parse(body) as { prompt?: string; }).prompt;
    }
    catch {
        return undefined;
    }
}

/** One admitted call: its admission lies between its start and its end. */
interface AdmittedCall {
    readonly startedAt: number;
    readonly endedAt: number;
    readonly tokens: number;
}

/**
 * Judges every interval from the start of one admitted call to the end of another: the calls that lie wholly within it
 * were admitted within it, so together they may cost at most the burst and what the rate gives in that time.
 */
function checkRate(world: World, name: string): void {
    const account = world.manifest.accounts.find((candidate) => candidate.name === name)!;
    const calls = world.records.filter((record) => record.account === name);
    const admitted = calls.filter((record) => record.status === statusOk).map((record): AdmittedCall => ({
        startedAt: record.startedAt,
        endedAt: record.endedAt,
        tokens: countTokens(record.prompt) + record.maximumTokens,
    })).sort((left, right) => left.endedAt - right.endedAt);
    expect(admitted.length > 0, `no call of account "${name}" was admitted`);
    let mostUsed = 0;
    for (const { startedAt } of admitted) {
        let spent = 0;
        for (const call of admitted.filter((candidate) => candidate.startedAt >= startedAt)) {
            spent += call.tokens;
            const seconds = (call.endedAt - startedAt) / millisecondsPerSecond;
            const allowed = account.burstTokens + account.tokensPerSecond * seconds;
            const used = spent / allowed;
            mostUsed = Math.max(mostUsed, used);
            expect(
                used <= 1,
                `account "${name}" spent ${spent} tokens in ${seconds.toFixed(2)} s, more than ${allowed}`,
            );
        }
    }
    const share = Math.round(percent * mostUsed);
    const refused = calls.length - admitted.length;
    world.measures.push(`${name}: ${share}% of rate and burst in its busiest interval, ${refused} refused`);
}

async function sumWork(world: World, field: keyof WorkCounts): Promise<number> {
    let sum = 0;
    for (const name of world.namesOf(PlaygroundRole.Engine)) {
        if (world.playground.child(name).isRunning) {
            sum += (await world.control<WorkCounts>(name, "/control/work"))[field];
        }
    }
    return sum;
}

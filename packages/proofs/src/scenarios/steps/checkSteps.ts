/**
 * Steps that check invariants which callers, endpoints and stand-ins can observe.
 *
 * @module
 */
import { RouteKind } from "@redwingpin/manifest";
import { PlaygroundRole } from "@redwingpin/playground";
import { countTokens, createTokenGenerator } from "@redwingpin/standins";
import { CallEnd, CallKind, type CallRecord } from "../callRecord.js";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";
import { describeRecord, expect } from "./callerSteps.js";

const millisecondsPerSecond = 1_000;
const percent = 100;
const statusOk = 200;

/** Some of the counters of an engine stand-in. */
interface WorkCounts {
    readonly started: number;
    readonly cancelled: number;
    readonly resumed: number;
}

export const checkSteps: readonly StepDefinition<World>[] = [
    {
        pattern: "every answer matches its own request and is complete unless its call failed",
        action: checkAnswers,
    },
    { pattern: "no truncated stream is presented as complete", action: checkAnswers },
    { pattern: "every call was answered", action: checkAllAnswered },
    { pattern: "no answer was interrupted", action: checkNoneInterrupted },
    {
        pattern: "{name} {number} gets no new work while {number} more calls end",
        action: async (world, role, number, calls) => {
            const name = `${role}-${number}`;
            const before = (await world.callControl<WorkCounts>(name, "/control/work")).started;
            const targetCount = world.records.length + Number(calls);
            await world.waitUntil(
                `${calls} more calls have ended`,
                () => world.records.length >= targetCount,
            );
            const after = (await world.callControl<WorkCounts>(name, "/control/work")).started;
            expect(after === before, `${name} received ${after - before} new requests, expected none`);
        },
    },
    {
        pattern: "at most {number} calls failed",
        action: (world, count) => checkFailures(world, Number(count)),
    },
    { pattern: "no endpoint received a key", action: checkKeys },
    { pattern: "every non-idempotent call was executed at most once", action: checkExecutions },
    { pattern: "every answered non-idempotent call was executed exactly once", action: checkAnsweredCalls },
    { pattern: "every call refused as not-run was not executed", action: checkNotRun },
    {
        pattern: "account {name} stayed within its rate and burst",
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
                `a call of "${account}" ended with ${refused && describeRecord(refused)}`,
            );
        },
    },
    {
        pattern: "the work of the disconnected caller is cancelled",
        action: async (world) => {
            const took = await world.waitUntil(
                "an engine has cancelled work",
                async () => await sumWork(world, "cancelled") > 0,
            );
            world.measurements.push(`the engine cancelled after ${took} ms`);
        },
    },
    {
        pattern: "at most {number} engines have crashed",
        action: (world, limit) => {
            const crashed = world.processNames(PlaygroundRole.Engine).filter((name) =>
                !world.playground.child(name).isRunning
            );
            world.measurements.push(`${crashed.length} engines crashed`);
            expect(
                crashed.length <= Number(limit),
                `${crashed.length} engines crashed, more than allowed: ${crashed.join(", ")}`,
            );
        },
    },
    {
        pattern: "at least {number} stream was resumed",
        action: async (world, count) => {
            const resumed = await sumWork(world, "resumed");
            expect(
                resumed >= Number(count),
                `only ${resumed} streams were resumed, expected at least ${count}`,
            );
        },
    },
];

/** Text of the complete answer to a call; undefined for calls of services. */
function expectedText(world: World, record: CallRecord): string | undefined {
    const route = world.manifest.routes.find((candidate) => candidate.name === record.model);
    if (!route || route.kind !== RouteKind.Model) {
        return undefined;
    }
    const model = world.manifest.models.find((candidate) => candidate.name === route.model)!;
    const { weights } = model.versions.find((version) => version.name === route.version)!;
    const tokenAt = createTokenGenerator(weights, route.adapter ?? "", record.prompt);
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
        const isComplete = record.text === expected;
        const isPrefix = expected.startsWith(record.text);
        expect(
            isPrefix,
            `"${record.identity}" received an answer that does not match its request: ${
                describeRecord(record)
            }`,
        );
        expect(
            record.end !== CallEnd.Complete || isComplete,
            `"${record.identity}" received a truncated answer that is presented as complete: ${
                describeRecord(record)
            }`,
        );
    }
    world.measurements.push([...ends].map(([end, count]) => `${count} ${end}`).join(", "));
}

function checkAllAnswered(world: World): void {
    checkFailures(world, 0);
}

function checkFailures(world: World, limit: number): void {
    const failed = world.records.filter((record) => record.end !== CallEnd.Complete);
    world.measurements.push(`${failed.length} of ${world.records.length} calls failed`);
    const first = failed[0];
    expect(
        failed.length <= limit,
        `${failed.length} of ${world.records.length} calls failed, more than allowed; the first: ${
            first && describeRecord(first)
        }`,
    );
    expect(world.records.length > 0, "no call was sent");
}

function checkNoneInterrupted(world: World): void {
    const interrupted = world.records.find((record) => record.end === CallEnd.Interrupted);
    expect(
        interrupted === undefined,
        `an answer was interrupted: ${interrupted && describeRecord(interrupted)}`,
    );
    expect(world.records.length > 0, "no call was sent");
}

async function checkKeys(world: World): Promise<void> {
    const seen = await world.requestsSeenByEndpoints();
    expect(seen.length > 0, "no endpoint received any request");
    const text = JSON.stringify(seen);
    for (const { account, key } of world.playground.state.keys) {
        expect(!text.includes(key), `an endpoint received a key of account "${account}"`);
    }
    world.measurements.push(`${seen.length} requests at endpoints, none with a key`);
}

async function executionsByIdentity(world: World): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const { body } of await world.executions()) {
        const identity = body === "" ? "" : (JSON.parse(body) as { identity: string; }).identity;
        counts.set(identity, (counts.get(identity) ?? 0) + 1);
    }
    return counts;
}

function nonIdempotentCallsOf(world: World): CallRecord[] {
    return world.records.filter((record) => record.kind === CallKind.NonIdempotent);
}

async function checkExecutions(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    for (const { identity } of nonIdempotentCallsOf(world)) {
        const count = counts.get(identity) ?? 0;
        expect(count <= 1, `non-idempotent call "${identity}" was executed ${count} times`);
    }
    world.measurements.push(
        `${nonIdempotentCallsOf(world).length} non-idempotent calls sent, ${counts.size} calls executed`,
    );
}

async function checkAnsweredCalls(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    const answered = nonIdempotentCallsOf(world).filter((record) => record.end === CallEnd.Complete);
    expect(answered.length > 0, "no non-idempotent call was answered");
    for (const { identity } of answered) {
        const count = counts.get(identity) ?? 0;
        expect(
            count === 1,
            `answered non-idempotent call "${identity}" was executed ${count} times, expected once`,
        );
    }
}

/** Ignores a call that was sent several times and refused only some of these times. */
async function checkNotRun(world: World): Promise<void> {
    const counts = await executionsByIdentity(world);
    const prompts = new Set((await world.requestsSeenByEndpoints()).map((seen) => promptOf(seen.body)));
    const refused = world.records.filter((record) => record.outcome === "not-run");
    for (const record of refused) {
        const hasOtherOutcome = world.records.some((other) =>
            other.identity === record.identity && other.outcome !== "not-run"
        );
        const wasExecuted = record.kind === CallKind.NonIdempotent || record.kind === CallKind.Idempotent
            ? counts.has(record.identity)
            : prompts.has(record.prompt);
        expect(
            hasOtherOutcome || !wasExecuted,
            `"${record.identity}" was refused as not-run (${describeRecord(record)}) but was executed`,
        );
    }
    world.measurements.push(`${refused.length} refusals as not-run`);
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
 * Checks every interval from the start of one admitted call to the end of another. The calls that lie entirely within
 * it were admitted within it, so together they may cost at most the burst plus the rate over the interval.
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
    let maximumUsedFraction = 0;
    for (const { startedAt } of admitted) {
        let spent = 0;
        for (const call of admitted.filter((candidate) => candidate.startedAt >= startedAt)) {
            spent += call.tokens;
            const seconds = (call.endedAt - startedAt) / millisecondsPerSecond;
            const allowed = account.burstTokens + account.tokensPerSecond * seconds;
            const usedFraction = spent / allowed;
            maximumUsedFraction = Math.max(maximumUsedFraction, usedFraction);
            expect(
                usedFraction <= 1,
                `account "${name}" spent ${spent} tokens in ${seconds.toFixed(2)} s, more than ${allowed}`,
            );
        }
    }
    const percentage = Math.round(percent * maximumUsedFraction);
    const refused = calls.length - admitted.length;
    world.measurements.push(
        `${name}: ${percentage}% of rate and burst in its busiest interval, ${refused} refused`,
    );
}

async function sumWork(world: World, counter: keyof WorkCounts): Promise<number> {
    let sum = 0;
    for (const name of world.processNames(PlaygroundRole.Engine)) {
        if (world.playground.child(name).isRunning) {
            sum += (await world.callControl<WorkCounts>(name, "/control/work"))[counter];
        }
    }
    return sum;
}

import { EndpointKind, type Manifest, RouteKind, RoutePriority } from "@redwingpin/manifest";
import { createTokenGenerator } from "@redwingpin/standins";
import { expect } from "chai";
import { CallEnd, CallKind, type CallRecord } from "../scenarios/callRecord.js";
import { stepRegistry } from "../scenarios/runScenario.js";
import type { World } from "../scenarios/world.js";

const weights = "drafting/1";
const key = "a-caller's-key";

function createManifest(): Manifest {
    return {
        models: [{ name: "drafting", versions: [{ name: "1", weights, replicas: 1 }], adapters: [] }],
        pools: [{
            name: "drafting",
            kind: EndpointKind.Engine,
            model: "drafting",
            checksSender: false,
            checksFencing: false,
        }],
        accounts: [{ name: "trial", tokensPerSecond: 10, burstTokens: 100, keys: [] }],
        routes: [{
            name: "draft",
            kind: RouteKind.Model,
            model: "drafting",
            version: "1",
            pool: "drafting",
            idempotent: true,
            priority: RoutePriority.Normal,
            access: { open: true },
        }],
    };
}

function createRecord(changes: Partial<CallRecord> = {}): CallRecord {
    const prompt = changes.prompt ?? "pattern";
    const tokenAt = createTokenGenerator(weights, "", prompt);
    return {
        kind: CallKind.Stream,
        identity: "call 1",
        account: "trial",
        router: "http://router",
        model: "draft",
        prompt,
        maximumTokens: 3,
        startedAt: 0,
        endedAt: 1_000,
        end: CallEnd.Complete,
        status: 200,
        outcome: undefined,
        code: undefined,
        text: `${tokenAt(0)}${tokenAt(1)}${tokenAt(2)}`,
        tokens: 3,
        ...changes,
    };
}

interface Observations {
    readonly records: readonly CallRecord[];
    readonly executions?: readonly string[];
    readonly seen?: readonly { readonly body: string; readonly headers: readonly string[]; }[];
}

/** Runs a check on prepared observations; returns the error message, or an empty text if the check passes. */
async function check(step: string, observations: Observations): Promise<string> {
    const world = {
        records: observations.records,
        measurements: [],
        manifest: createManifest(),
        playground: { state: { keys: [{ account: "trial", key }] } },
        executions: async () =>
            (observations.executions ?? []).map((identity) => ({ body: JSON.stringify({ identity }) })),
        requestsSeenByEndpoints: async () => observations.seen ?? [],
    } as unknown as World;
    try {
        await stepRegistry.match(step).run(world);
        return "";
    }
    catch (error) {
        return (error as Error).message;
    }
}

describe("scenario checks", () => {
    it("detect an answer to another request, a lost token, and a truncated stream that is presented as complete", async () => {
        const step = "every answer matches its own request and is complete unless its call failed";
        const complete = createRecord();
        expect(await check(step, { records: [complete] })).to.equal("");
        const mismatched = createRecord({ prompt: "another pattern", text: complete.text });
        expect(await check(step, { records: [mismatched] })).to.contain("does not match its request");
        const incomplete = createRecord({ text: complete.text.slice(7) });
        expect(await check(step, { records: [incomplete] })).to.contain("does not match its request");
        const truncated = createRecord({ text: complete.text.slice(0, 14) });
        expect(await check(step, { records: [truncated] })).to.contain(
            "truncated answer that is presented as complete",
        );
        expect(await check(step, { records: [{ ...truncated, end: CallEnd.Interrupted }] })).to.equal("");
    });

    it("detect a non-idempotent call that was executed twice, or answered but not executed", async () => {
        const records = [createRecord({ kind: CallKind.NonIdempotent, model: "" })];
        const once = "every non-idempotent call was executed at most once";
        expect(await check(once, { records, executions: ["call 1"] })).to.equal("");
        expect(await check(once, { records, executions: ["call 1", "call 1"] })).to.contain(
            "executed 2 times",
        );
        const answered = "every answered non-idempotent call was executed exactly once";
        expect(await check(answered, { records, executions: [] })).to.contain("executed 0 times");
    });

    it("detect a non-idempotent call and a completion that were refused as not-run but executed", async () => {
        const step = "every call refused as not-run was not executed";
        const refused = { end: CallEnd.Refused, status: 503, outcome: "not-run", text: "" };
        const nonIdempotent = createRecord({ ...refused, kind: CallKind.NonIdempotent, model: "" });
        expect(await check(step, { records: [nonIdempotent] })).to.equal("");
        expect(await check(step, { records: [nonIdempotent], executions: ["call 1"] })).to.contain(
            "but was executed",
        );
        const seen = [{ body: JSON.stringify({ prompt: "pattern" }), headers: [] }];
        expect(await check(step, { records: [createRecord(refused)], seen })).to.contain("but was executed");
    });

    it("detect a key in a header or a body", async () => {
        const step = "no endpoint received a key";
        const withoutKey = { body: "{}", headers: ["accept", "*/*"] };
        expect(await check(step, { records: [], seen: [withoutKey] })).to.equal("");
        const inHeader = { body: "{}", headers: ["cookie", `session=${key}`] };
        expect(await check(step, { records: [], seen: [withoutKey, inHeader] })).to.contain("received a key");
        const inBody = { body: JSON.stringify({ key }), headers: [] };
        expect(await check(step, { records: [], seen: [inBody] })).to.contain("received a key");
        expect(await check(step, { records: [], seen: [] })).to.contain("no endpoint received any request");
    });

    it("detect an interval in which an account spent more than its rate and burst", async () => {
        const step = "account trial stayed within its rate and burst";
        const call = (startedAt: number, endedAt: number, maximumTokens: number) =>
            createRecord({ startedAt, endedAt, maximumTokens, prompt: "" });
        expect(await check(step, { records: [call(0, 1_000, 100), call(1_000, 2_000, 20)] })).to.equal("");
        const busy = [call(0, 1_000, 1), call(60_000, 60_500, 80), call(60_100, 61_000, 40)];
        expect(await check(step, { records: busy })).to.contain("spent 120 tokens in 1.00 s, more than 110");
        expect(await check(step, { records: [] })).to.contain("was admitted");
    });
});

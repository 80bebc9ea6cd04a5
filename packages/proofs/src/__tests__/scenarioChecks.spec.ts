import { EndpointKind, type Manifest, RouteKind, RoutePriority } from "@redwingpin/manifest";
import { tokenSource } from "@redwingpin/standins";
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
    const tokenAt = tokenSource(weights, "", prompt);
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

interface Evidence {
    readonly records: readonly CallRecord[];
    readonly executions?: readonly string[];
    readonly seen?: readonly { readonly body: string; readonly headers: readonly string[]; }[];
}

/** Runs a check on made-up evidence; gives the failure's message, or the empty text where it held. */
async function check(step: string, evidence: Evidence): Promise<string> {
    const world = {
        records: evidence.records,
        measures: [],
        manifest: createManifest(),
        playground: { state: { keys: [{ account: "trial", key }] } },
        executions: async () =>
            (evidence.executions ?? []).map((identity) => ({ body: JSON.stringify({ identity }) })),
        seenByEndpoints: async () => evidence.seen ?? [],
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
    it("find an answer of another request, a lost token, and a cut stream that looks complete", async () => {
        const step = "every answer is whole and belongs to its own request";
        const whole = createRecord();
        expect(await check(step, { records: [whole] })).to.equal("");
        const other = createRecord({ prompt: "another pattern", text: whole.text });
        expect(await check(step, { records: [other] })).to.contain("not its own");
        const lost = createRecord({ text: whole.text.slice(7) });
        expect(await check(step, { records: [lost] })).to.contain("not its own");
        const short = createRecord({ text: whole.text.slice(0, 14) });
        expect(await check(step, { records: [short] })).to.contain("looks complete and is not");
        expect(await check(step, { records: [{ ...short, end: CallEnd.Cut }] })).to.equal("");
    });

    it("find a stamp that was executed twice, or answered and not executed", async () => {
        const records = [createRecord({ kind: CallKind.Stamp, model: "" })];
        const once = "every stamp was executed at most once";
        expect(await check(once, { records, executions: ["call 1"] })).to.equal("");
        expect(await check(once, { records, executions: ["call 1", "call 1"] })).to.contain(
            "executed 2 times",
        );
        const answered = "every answered stamp was executed exactly once";
        expect(await check(answered, { records, executions: [] })).to.contain("executed 0 times");
    });

    it("find an untrue refusal as not-run, of a stamp and of a completion", async () => {
        const step = "every refusal as not-run is true";
        const refused = { end: CallEnd.Refused, status: 503, outcome: "not-run", text: "" };
        const stamp = createRecord({ ...refused, kind: CallKind.Stamp, model: "" });
        expect(await check(step, { records: [stamp] })).to.equal("");
        expect(await check(step, { records: [stamp], executions: ["call 1"] })).to.contain("and ran");
        const seen = [{ body: JSON.stringify({ prompt: "pattern" }), headers: [] }];
        expect(await check(step, { records: [createRecord(refused)], seen })).to.contain("and ran");
    });

    it("find a key in a header or a body", async () => {
        const step = "no endpoint saw a key";
        const clean = { body: "{}", headers: ["accept", "*/*"] };
        expect(await check(step, { records: [], seen: [clean] })).to.equal("");
        const inHeader = { body: "{}", headers: ["cookie", `session=${key}`] };
        expect(await check(step, { records: [], seen: [clean, inHeader] })).to.contain("saw a key");
        const inBody = { body: JSON.stringify({ key }), headers: [] };
        expect(await check(step, { records: [], seen: [inBody] })).to.contain("saw a key");
        expect(await check(step, { records: [], seen: [] })).to.contain("no endpoint saw any request");
    });

    it("find an interval in which an account spent more than its rate and burst", async () => {
        const step = "account trial got at most its rate and burst";
        const call = (startedAt: number, endedAt: number, maximumTokens: number) =>
            createRecord({ startedAt, endedAt, maximumTokens, prompt: "" });
        expect(await check(step, { records: [call(0, 1_000, 100), call(1_000, 2_000, 20)] })).to.equal("");
        const busy = [call(0, 1_000, 1), call(60_000, 60_500, 80), call(60_100, 61_000, 40)];
        expect(await check(step, { records: busy })).to.contain("spent 120 tokens in 1.00 s, more than 110");
        expect(await check(step, { records: [] })).to.contain("was admitted");
    });
});

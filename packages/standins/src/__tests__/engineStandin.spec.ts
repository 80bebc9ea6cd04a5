import { expect } from "chai";
import { request } from "undici";
import type { EngineStandinOptions } from "../node/engineOptions.js";
import { startEngineStandin } from "../node/engineStandin.js";
import type { Standin } from "../node/httpListener.js";
import { startVirtualMachineListStandin, weightsPath } from "../node/virtualMachineListStandin.js";

interface Completion {
    readonly choices: readonly { readonly text: string; }[];
    readonly usage: { readonly prompt_tokens_details: { readonly cached_tokens: number; }; };
}

async function post(address: string, body: object): Promise<{ status: number; text: string; }> {
    const answer = await request(address, { method: "POST", body: JSON.stringify(body) });
    return { status: answer.statusCode, text: await answer.body.text() };
}

async function get<T>(address: string): Promise<T> {
    return await (await request(address)).body.json() as T;
}

async function complete(standin: Standin, body: object): Promise<Completion> {
    return JSON.parse((await post(`${standin.address}/v1/completions`, body)).text) as Completion;
}

function eventTexts(stream: string): string[] {
    return stream.split("\n\n").filter((event) => event.startsWith("data: {"))
        .map((event) => JSON.parse(event.slice("data: ".length)).choices[0].text as string);
}

async function until(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await new Promise((resolve) => setTimeout(resolve, 5));
    }
}

describe("standins: engine", () => {
    const running: Standin[] = [];

    async function start(options: EngineStandinOptions = {}): Promise<Standin> {
        const standin = await startEngineStandin({
            firstTokenMilliseconds: 0,
            betweenTokensMilliseconds: 0,
            prefillTokensPerSecond: 1e9,
            ...options,
        });
        running.push(standin);
        return standin;
    }

    afterEach(async () => {
        await Promise.all(running.splice(0).map((standin) => standin.stop()));
    });

    it("gives the same text whole, streamed and resumed", async () => {
        const standin = await start();
        const body = { prompt: "a pattern", max_tokens: 20 };
        const whole = (await complete(standin, body)).choices[0]!.text;
        const stream = (await post(`${standin.address}/v1/completions`, { ...body, stream: true })).text;
        const texts = eventTexts(stream);
        expect(texts).to.have.length(20);
        expect(texts.join("")).to.equal(whole);
        expect(stream.endsWith("data: [DONE]\n\n")).to.equal(true);
        const resumed = { ...body, stream: true, resume: { after_tokens: 7 } };
        const rest = eventTexts((await post(`${standin.address}/v1/completions`, resumed)).text);
        expect(rest).to.deep.equal(texts.slice(7));
    });

    it("gives another text for other weights", async () => {
        const first = await start({ weights: "old" });
        const second = await start({ weights: "new" });
        const body = { prompt: "a pattern" };
        expect((await complete(first, body)).choices).to.not.deep.equal(
            (await complete(second, body)).choices,
        );
    });

    it("reports cached tokens by salt, and evicts the least recently used blocks", async () => {
        const standin = await start({ blockTokens: 4, cacheBlocks: 4 });
        const cached = async (prompt: string, salt: string) =>
            (await complete(standin, { prompt, cache_salt: salt })).usage.prompt_tokens_details.cached_tokens;
        const catalogue = "c".repeat(48);
        expect(await cached(catalogue, "office")).to.equal(0);
        expect(await cached(`${catalogue}${"q".repeat(16)}`, "office")).to.equal(12);
        expect(await cached(catalogue, "kartela")).to.equal(0);
        expect(await cached(catalogue, "office")).to.equal(0);
    });

    it("numbers cache events and loses some", async () => {
        const standin = await start({ blockTokens: 1, eventLagMilliseconds: 0, loseEventEvery: 2 });
        const events = await request(`${standin.address}/cache/events`);
        for (const prompt of ["aaaa", "bbbb", "cccc"]) {
            await complete(standin, { prompt });
        }
        let text = "";
        for await (const chunk of events.body) {
            text += chunk;
            if (text.includes("id: 3\n")) {
                break;
            }
        }
        expect(text.match(/^id: \d+/gm)).to.deep.equal(["id: 1", "id: 3"]);
    });

    it("stops work when the caller disconnects", async () => {
        const standin = await start({ betweenTokensMilliseconds: 1 });
        const body = JSON.stringify({ prompt: "long", max_tokens: 100_000, stream: true });
        const answer = await request(`${standin.address}/v1/completions`, { method: "POST", body });
        answer.body.on("error", () => {});
        await answer.body[Symbol.asyncIterator]().next();
        answer.body.destroy();
        await until(async () =>
            (await get<{ cancelled: number; }>(`${standin.controlAddress}/control/work`)).cancelled === 1
        );
    });

    it("refuses old fences and strange senders where it checks them", async () => {
        const standin = await start({ checksFencing: true, senders: ["leader"], loadMilliseconds: 0 });
        const order = { kind: "loadWeights", weights: "drafting/2", sender: "leader", fence: 7 };
        const give = async (changes: object) =>
            (await post(`${standin.address}/orders`, { ...order, ...changes })).status;
        expect(await give({})).to.equal(200);
        expect(await give({ fence: 6 })).to.equal(409);
        expect(await give({ fence: undefined })).to.equal(409);
        expect(await give({ sender: "other" })).to.equal(403);
        expect(await give({ kind: "dance" })).to.equal(400);
        expect(await get(`${standin.address}/health`)).to.include({ status: "ok", weights: "drafting/2" });
    });

    it("loads weights slower where more than two load at once", async () => {
        const platform = await startVirtualMachineListStandin({ transferMilliseconds: 100 });
        running.push(platform);
        const store = new URL(weightsPath, platform.address).href;
        const engines = await Promise.all([1, 2, 3].map(() => start({ weightStoreAddress: store })));
        const order = { kind: "loadWeights", weights: "weights-2", sender: "leader", fence: 1 };
        await Promise.all(engines.map((engine) => post(`${engine.address}/orders`, order)));
        const report = await get<{ mostAtOnce: number; }>(`${platform.controlAddress}/control/weights`);
        expect(report.mostAtOnce).to.equal(3);
    });

    it("crashes on a marked prompt, and keeps what it saw", async () => {
        let crashed = false;
        const standin = await start({ crashMarker: "poison", onCrash: () => crashed = true });
        await complete(standin, { prompt: "harmless" });
        void post(`${standin.address}/v1/completions`, { prompt: "some poison" }).catch(() => {});
        await until(() => Promise.resolve(crashed));
        const seen = await get<{ total: number; requests: { body: string; }[]; }>(
            `${standin.controlAddress}/control/seen`,
        );
        expect(seen.total).to.equal(2);
        expect(seen.requests[1]!.body).to.contain("some poison");
    });

    it("answers malformed requests with status 400", async () => {
        const standin = await start();
        for (const body of [{}, { prompt: 7 }, { prompt: "x", max_tokens: -1 }]) {
            expect((await post(`${standin.address}/v1/completions`, body)).status).to.equal(400);
        }
        expect((await post(`${standin.address}/v1/chat/completions`, {})).status).to.equal(400);
    });
});

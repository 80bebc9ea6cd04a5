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

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
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

    it("returns the same text as a whole answer, a stream and a resumed stream", async () => {
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

    it("returns a different text for different weights", async () => {
        const first = await start({ weights: "old" });
        const second = await start({ weights: "new" });
        const body = { prompt: "a pattern" };
        expect((await complete(first, body)).choices).to.not.deep.equal(
            (await complete(second, body)).choices,
        );
    });

    it("reports cached tokens by salt, and evicts the least recently used blocks", async () => {
        const standin = await start({ blockTokens: 4, cacheBlocks: 4 });
        const cachedTokens = async (prompt: string, salt: string) =>
            (await complete(standin, { prompt, cache_salt: salt })).usage.prompt_tokens_details.cached_tokens;
        const catalogue = "c".repeat(48);
        expect(await cachedTokens(catalogue, "office")).to.equal(0);
        expect(await cachedTokens(`${catalogue}${"q".repeat(16)}`, "office")).to.equal(12);
        expect(await cachedTokens(catalogue, "kartela")).to.equal(0);
        expect(await cachedTokens(catalogue, "office")).to.equal(0);
    });

    it("numbers cache events and drops some", async () => {
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

    it("cancels a completion when the caller disconnects", async () => {
        const standin = await start({ betweenTokensMilliseconds: 1 });
        const body = JSON.stringify({ prompt: "long", max_tokens: 100_000, stream: true });
        const answer = await request(`${standin.address}/v1/completions`, { method: "POST", body });
        answer.body.on("error", () => {});
        await answer.body[Symbol.asyncIterator]().next();
        answer.body.destroy();
        await waitUntil(async () =>
            (await get<{ cancelled: number; }>(`${standin.controlAddress}/control/work`)).cancelled === 1
        );
    });

    it("refuses outdated fences and unknown senders if it checks them", async () => {
        const standin = await start({ checksFencing: true, senders: ["leader"], loadMilliseconds: 0 });
        const order = { kind: "loadWeights", weights: "drafting/2", sender: "leader", fence: 7 };
        const sendOrder = async (changes: object) =>
            (await post(`${standin.address}/orders`, { ...order, ...changes })).status;
        expect(await sendOrder({})).to.equal(200);
        expect(await sendOrder({ fence: 6 })).to.equal(409);
        expect(await sendOrder({ fence: undefined })).to.equal(409);
        expect(await sendOrder({ sender: "other" })).to.equal(403);
        expect(await sendOrder({ kind: "dance" })).to.equal(400);
        expect(await get(`${standin.address}/health`)).to.include({ status: "ok", weights: "drafting/2" });
    });

    it("loads weights into more than two engines at once", async () => {
        const platform = await startVirtualMachineListStandin({ transferMilliseconds: 100 });
        running.push(platform);
        const store = new URL(weightsPath, platform.address).href;
        const engines = await Promise.all([1, 2, 3].map(() => start({ weightStoreAddress: store })));
        const order = { kind: "loadWeights", weights: "weights-2", sender: "leader", fence: 1 };
        await Promise.all(engines.map((engine) => post(`${engine.address}/orders`, order)));
        const report = await get<{ mostAtOnce: number; }>(`${platform.controlAddress}/control/weights`);
        expect(report.mostAtOnce).to.equal(3);
    });

    it("crashes on a prompt with the crash marker, and has recorded the request", async () => {
        let hasCrashed = false;
        const standin = await start({ crashMarker: "poison", onCrash: () => hasCrashed = true });
        await complete(standin, { prompt: "harmless" });
        void post(`${standin.address}/v1/completions`, { prompt: "some poison" }).catch(() => {});
        await waitUntil(() => Promise.resolve(hasCrashed));
        const log = await get<{ total: number; requests: { body: string; }[]; }>(
            `${standin.controlAddress}/control/seen`,
        );
        expect(log.total).to.equal(2);
        expect(log.requests[1]!.body).to.contain("some poison");
    });

    it("answers malformed requests with status 400", async () => {
        const standin = await start();
        for (const body of [{}, { prompt: 7 }, { prompt: "x", max_tokens: -1 }]) {
            expect((await post(`${standin.address}/v1/completions`, body)).status).to.equal(400);
        }
        expect((await post(`${standin.address}/v1/chat/completions`, {})).status).to.equal(400);
    });
});

import { expect } from "chai";
import { type Site, startSite, workshopKey } from "./siteFixture.js";

interface WorkCounts {
    readonly started: number;
    readonly completed: number;
    readonly cancelled: number;
    readonly resumed: number;
}

function stream(site: Site, maxTokens: number, signal?: AbortSignal): Promise<Response> {
    return fetch(`${site.address}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", authorization: `Bearer ${workshopKey}` },
        body: JSON.stringify({
            model: "draft",
            prompt: "Does it match?",
            max_tokens: maxTokens,
            stream: true,
        }),
        signal,
    });
}

function textOf(events: string): string {
    return events.split("\n\n")
        .filter((event) => event.startsWith("data: {"))
        .map((event) =>
            (JSON.parse(event.slice("data: ".length)) as { choices: { text: string; }[]; }).choices[0]?.text
                ?? ""
        )
        .join("");
}

async function setDelay(site: Site, betweenTokens: number): Promise<void> {
    for (const engine of site.engines) {
        await fetch(`${engine.controlAddress}/control/delay`, {
            method: "POST",
            body: JSON.stringify({ betweenTokens }),
        });
    }
}

async function workCountsOf(site: Site): Promise<WorkCounts[]> {
    return Promise.all(site.engines.map(async (engine) => {
        const answer = await fetch(`${engine.controlAddress}/control/work`);
        return await answer.json() as WorkCounts;
    }));
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

describe("streams", () => {
    let site: Site;

    beforeEach(async () => {
        site = await startSite();
    });

    afterEach(() => site.stop());

    it("deliver 100,000 tokens completely", async () => {
        await setDelay(site, 0);
        const events = await (await stream(site, 100_000)).text();
        expect(events.trimEnd().endsWith("data: [DONE]")).to.equal(true);
        expect(textOf(events).trimEnd().split(" ")).to.have.length(100_000);
    });

    it("resume at the same token when their engine stops", async () => {
        const expected = textOf(await (await stream(site, 200)).text());
        await setDelay(site, 5);
        const response = await stream(site, 200);
        const reader = response.body!.getReader();
        const first = await reader.read();
        const busyEngine = (await workCountsOf(site)).findIndex((counts) =>
            counts.started > counts.completed + counts.cancelled
        );
        await site.engines[busyEngine].stop();
        let events = new TextDecoder().decode(first.value);
        for (let part = await reader.read(); !part.done; part = await reader.read()) {
            events += new TextDecoder().decode(part.value);
        }
        expect(events.trimEnd().endsWith("data: [DONE]")).to.equal(true);
        expect(textOf(events)).to.equal(expected);
    });

    it("end with an explicit error and no end event when no replica is left", async () => {
        await setDelay(site, 5);
        const response = await stream(site, 1_000);
        const reader = response.body!.getReader();
        let events = new TextDecoder().decode((await reader.read()).value);
        await Promise.all(site.engines.map((engine) => engine.stop()));
        let isInterrupted = false;
        try {
            for (let part = await reader.read(); !part.done; part = await reader.read()) {
                events += new TextDecoder().decode(part.value);
            }
        }
        catch {
            isInterrupted = true;
        }
        expect(isInterrupted).to.equal(true);
        expect(events).to.contain('"error"');
        expect(events).not.to.contain("[DONE]");
    });

    it("cancel the engine's work when the caller disconnects", async () => {
        await setDelay(site, 20);
        const caller = new AbortController();
        const response = await stream(site, 100_000, caller.signal);
        await response.body!.getReader().read();
        caller.abort();
        await waitUntil(async () => (await workCountsOf(site)).some((counts) => counts.cancelled === 1));
    });
});

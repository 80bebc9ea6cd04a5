import type { Manifest } from "@redwingpin/manifest";
import { expect } from "chai";
import { execFile } from "node:child_process";
import { readFile, writeFile } from "node:fs/promises";
import { promisify } from "node:util";
import { request } from "undici";
import { type Playground, startPlayground } from "../playground.js";
import { PlaygroundRole } from "../state.js";

interface Answer {
    readonly status: number;
    readonly text: string;
}

async function send(address: string, key: string, body?: object): Promise<Answer> {
    const answer = await request(address, {
        method: body === undefined ? "GET" : "POST",
        headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
        body: body && JSON.stringify(body),
    });
    return { status: answer.statusCode, text: await answer.body.text() };
}

describe("playground", () => {
    let playground: Playground;

    before(async () => {
        playground = await startPlayground({ routers: 2, engines: 2, services: 1 });
    });

    after(async () => {
        await playground.kill();
    });

    it("answers a completion, a stream and service calls through every router", async () => {
        const { routers, keys, models, nonIdempotent, idempotentService } = playground.state;
        const { key } = keys[0]!;
        const body = { model: models[0], prompt: "Does this pattern match?", max_tokens: 20 };
        for (const router of routers) {
            const whole = await send(`${router}/v1/completions`, key, body);
            expect(whole.status).to.equal(200);
            const stream = await send(`${router}/v1/completions`, key, { ...body, stream: true });
            expect(stream.text.endsWith("data: [DONE]\n\n")).to.equal(true);
            expect((await send(`${router}${nonIdempotent}`, key, { stamp: 1 })).status).to.equal(200);
            expect((await send(`${router}${idempotentService}`, key, {})).status).to.equal(200);
        }
    });

    it("cancels a completion when its caller disconnects", async () => {
        const { routers, keys, models, processes } = playground.state;
        const answer = await request(`${routers[0]}/v1/completions`, {
            method: "POST",
            headers: { "content-type": "application/json", authorization: `Bearer ${keys[0]!.key}` },
            body: JSON.stringify({
                model: models[0],
                prompt: "A long reply",
                max_tokens: 100_000,
                stream: true,
            }),
        });
        answer.body.on("error", () => {});
        await answer.body[Symbol.asyncIterator]().next();
        answer.body.destroy();
        const engines = processes.filter((child) => child.role === PlaygroundRole.Engine);
        let cancelled = 0;
        while (cancelled === 0) {
            for (const engine of engines) {
                const work = await (await request(`${engine.control}/control/work`)).body.json();
                cancelled += (work as { cancelled: number; }).cancelled;
            }
        }
        expect(cancelled).to.equal(1);
    });

    it("restarts a process on the same address from its command and environment", async () => {
        const child = playground.child("router-1");
        await child.kill();
        await playground.restart("router-1");
        const { routers, keys } = playground.state;
        expect((await send(`${routers[0]}/v1/models`, keys[0]!.key)).status).to.equal(200);
    });

    it("rejects a key that the operator has revoked", async () => {
        const { routers, keys, manifest, operator } = playground.state;
        const { account, key } = keys.find((candidate) => candidate.account === "inspectors")!;
        const originalManifest = JSON.parse(await readFile(manifest, "utf8")) as Manifest;
        const accounts = originalManifest.accounts.map((other) =>
            other.name === account ? { ...other, keys: [] } : other
        );
        const file = `${playground.folder}/withdrawn.json`;
        await writeFile(file, JSON.stringify({ ...originalManifest, accounts }));
        const [program, ...operatorArguments] = operator;
        await promisify(execFile)(program!, [...operatorArguments, "manifest", "apply", file]);
        for (const router of routers) {
            while ((await send(`${router}/v1/models`, key)).status !== 401) {
                await new Promise((resolve) => setTimeout(resolve, 20));
            }
        }
        expect((await send(`${routers[0]}/v1/models`, keys[0]!.key)).status).to.equal(200);
    });
});

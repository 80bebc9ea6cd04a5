import { type Standin, startEngineStandin } from "@redwingpin/standins";
import { expect } from "chai";
import { type Site, startSite, workshopKey } from "./siteFixture.js";

const crashMarker = "this prompt crashes engines";

/** Text of several prefix blocks. */
const commonRules = "a rule that all of these prompts contain; ".repeat(1_000);

/** Five crashes to find the common part, and at most three requests that reach an engine later (users' target). */
const maxCrashes = 5 + 3;

/** Starts engines that restart with an empty cache at the same address after a crash. */
class CrashingEngines {
    crashes = 0;
    private readonly running = new Set<Standin>();

    async start(port = 0): Promise<Standin> {
        const engine: Standin = await startEngineStandin({
            port,
            crashMarker,
            betweenTokensMilliseconds: 5,
            onCrash: () => void this.crash(engine),
        });
        this.running.add(engine);
        return engine;
    }

    async stop(): Promise<void> {
        await Promise.all([...this.running].map((engine) => engine.stop()));
    }

    private async crash(engine: Standin): Promise<void> {
        this.crashes++;
        this.running.delete(engine);
        await engine.stop();
        await this.start(Number(new URL(engine.address).port));
    }
}

function complete(site: Site, prompt: string): Promise<Response> {
    return fetch(`${site.address}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${workshopKey}` },
        body: JSON.stringify({ model: "draft", prompt, max_tokens: 20 }),
    });
}

describe("requests that crash engines", () => {
    let site: Site;
    const engines = new CrashingEngines();

    before(async () => {
        site = await startSite(undefined, () => engines.start());
    });

    after(async () => {
        await site.stop();
        await engines.stop();
    });

    it("are refused after two crashes, while the caller's other requests are answered", async () => {
        const others = Array.from({ length: 6 }, (_, index) => complete(site, `query ${index}`));
        const first = await complete(site, crashMarker);
        expect(first.status).to.not.equal(200);
        for (const response of await Promise.all(others)) {
            expect(response.status).to.equal(200);
        }
        for (let resend = 0; resend < 3; resend++) {
            const again = await complete(site, crashMarker);
            expect(again.status).to.not.equal(200);
        }
        const last = await complete(site, crashMarker);
        const body = await last.json() as { error: { code: string; }; };
        expect([body.error.code, last.headers.get("redwingpin-outcome")]).to.deep.equal([
            "quarantined",
            "not-run",
        ]);
        expect(engines.crashes).to.be.at.most(2);
        expect((await complete(site, "query afterwards")).status).to.equal(200);
    });

    // Guards against requests that crash one engine after the other because no two of them are alike.
    it("are refused if they share only a part of their prompts", async () => {
        const crashesBefore = engines.crashes;
        for (let index = 0; index < 12; index++) {
            await complete(site, `${crashMarker} ${commonRules} ${index}`);
        }
        expect((await complete(site, "query beside them")).status).to.equal(200);
        expect(engines.crashes - crashesBefore).to.be.at.most(maxCrashes);
    });
});

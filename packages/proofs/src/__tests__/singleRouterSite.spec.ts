import { expect } from "chai";
import { inspectorKey, type Site, startSite, workshopKey } from "./siteFixture.js";

function post(
    site: Site,
    path: string,
    body: unknown,
    key: string | undefined = workshopKey,
): Promise<Response> {
    const authorization: Record<string, string> = key === undefined ? {} : { authorization: `Bearer ${key}` };
    return fetch(`${site.address}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json", ...authorization },
        body: typeof body === "string" ? body : JSON.stringify(body),
    });
}

async function readRefusal(
    response: Response,
): Promise<{ status: number; code: string; outcome: string | null; }> {
    const body = await response.json() as { error: { code: string; }; };
    return {
        status: response.status,
        code: body.error.code,
        outcome: response.headers.get("redwingpin-outcome"),
    };
}

describe("a site with one router", () => {
    let site: Site;

    before(async () => {
        site = await startSite();
    });

    after(() => site.stop());

    it("answers a completion", async () => {
        const response = await post(site, "/v1/completions", {
            model: "draft",
            prompt: "Does it match?",
            max_tokens: 5,
        });
        expect(response.status).to.equal(200);
        const body = await response.json() as { usage: { completion_tokens: number; }; };
        expect(body.usage.completion_tokens).to.equal(5);
    });

    it("streams a chat completion to its end", async () => {
        const messages = [{ role: "user", content: "Does the stitching match?" }];
        const response = await post(site, "/v1/chat/completions", {
            model: "draft",
            messages,
            max_tokens: 50,
            stream: true,
        });
        const text = await response.text();
        expect(text.trimEnd().endsWith("data: [DONE]")).to.equal(true);
    });

    it("accepts a prompt of one megabyte", async () => {
        const prompt = "strap ".repeat(180_000);
        const response = await post(site, "/v1/completions", { model: "draft", prompt, max_tokens: 1 });
        expect(response.status).to.equal(200);
    });

    it("executes a service call once and returns its answer", async () => {
        const response = await post(site, "/services/stamps/batch/7", { stamp: 7 });
        expect(response.status).to.equal(200);
        const executions = await (await fetch(`${site.service.controlAddress}/control/executions`))
            .json() as unknown[];
        expect(executions).to.have.length(1);
    });

    it("replays the answer of a call with the same idempotency key", async () => {
        const send = () =>
            fetch(`${site.address}/services/stamps/batch/8`, {
                method: "POST",
                headers: { authorization: `Bearer ${workshopKey}`, "idempotency-key": "batch 8" },
                body: "stamp 8",
            });
        const first = await send();
        const second = await send();
        expect([first.status, second.status]).to.deep.equal([200, 200]);
        expect(second.headers.get("redwingpin-outcome")).to.equal("replayed");
        expect(await second.text()).to.equal(await first.text());
        const executions = await (await fetch(`${site.service.controlAddress}/control/executions`)).text();
        expect(executions.split("stamp 8")).to.have.length(2);
    });

    it("lists the models that the caller may use", async () => {
        const headers = { authorization: `Bearer ${workshopKey}` };
        const body = await (await fetch(`${site.address}/v1/models`, { headers })).json() as {
            data: { id: string; }[];
        };
        expect(body.data.map((model) => model.id)).to.deep.equal(["draft"]);
    });

    it("refuses with an error code and the outcome not-run", async () => {
        const request = { model: "draft", prompt: "x" };
        const refusals = await Promise.all([
            post(site, "/v1/completions", request, "no-such-key").then(readRefusal),
            post(site, "/v1/completions", request, inspectorKey).then(readRefusal),
            post(site, "/v1/completions", { ...request, model: "nothing" }).then(readRefusal),
            post(site, "/v1/completions", "{").then(readRefusal),
        ]);
        expect(refusals).to.deep.equal([
            { status: 401, code: "unknown_key", outcome: "not-run" },
            { status: 403, code: "route_forbidden", outcome: "not-run" },
            { status: 404, code: "route_not_found", outcome: "not-run" },
            { status: 400, code: "malformed_request", outcome: "not-run" },
        ]);
    });

    it("does not forward the caller's key to an endpoint", async () => {
        const withKeyInBody = await post(site, "/services/status/look", { note: `my key is ${workshopKey}` });
        expect((await readRefusal(withKeyInBody)).code).to.equal("malformed_request");
        await fetch(`${site.address}/services/status/look`, {
            headers: {
                authorization: `Bearer ${workshopKey}`,
                cookie: `key=${workshopKey}`,
                "x-request-id": workshopKey,
            },
        });
        const seen = await (await fetch(`${site.service.controlAddress}/control/seen`)).text();
        expect(seen).to.contain("/look");
        expect(seen).not.to.contain(workshopKey);
    });
});

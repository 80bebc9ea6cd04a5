/**
 * Waits until a router serves an account: it has discovered endpoints and received a share of the account's rate.
 *
 * @module
 */
import { type Manifest, type Route, RouteKind } from "@redwingpin/manifest";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

const pollMilliseconds = 100;
const timeoutMilliseconds = 30_000;

/** Repeats a request for one token until it succeeds. Throws if the wait times out. */
export async function waitUntilAccountServed(
    router: string,
    deployment: Deployment,
    account: string,
): Promise<void> {
    const route = findRoute(deployment.manifest, account);
    const key = deployment.keys.find((candidate) => candidate.account === account)?.key;
    if (!route || key === undefined) {
        return;
    }
    const deadline = Date.now() + timeoutMilliseconds;
    for (
        let lastError = await sendCompletion(router, route.name, key);
        lastError !== "";
        lastError = await sendCompletion(router, route.name, key)
    ) {
        if (Date.now() > deadline) {
            throw new Error(
                `${router} did not serve account "${account}" within ${timeoutMilliseconds} ms: ${lastError}`,
            );
        }
        await sleep(pollMilliseconds);
    }
}

function findRoute(manifest: Manifest, account: string): Route | undefined {
    return manifest.routes.find((route) =>
        route.kind === RouteKind.Model && (route.access.open || route.access.accounts.includes(account))
    );
}

/** Returns an empty string on success, and the body of the error otherwise. */
async function sendCompletion(router: string, model: string, key: string): Promise<string> {
    const answer = await request(`${router}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
        body: JSON.stringify({ model, prompt: "Is the playground ready?", max_tokens: 1 }),
    });
    const text = await answer.body.text();
    return answer.statusCode === 200 ? "" : text;
}

/**
 * Waits until a router serves an account: it has found the endpoints and holds a share of the account's rate.
 *
 * @module
 */
import { type Manifest, type Route, RouteKind } from "@redwingpin/manifest";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

const pollMilliseconds = 100;
const limitMilliseconds = 30_000;

/** Sends a request of one token until it is answered. */
export async function untilAnswered(router: string, deployment: Deployment, account: string): Promise<void> {
    const route = routeOf(deployment.manifest, account);
    const key = deployment.keys.find((candidate) => candidate.account === account)?.key;
    if (!route || key === undefined) {
        return;
    }
    const limit = Date.now() + limitMilliseconds;
    for (
        let last = await ask(router, route.name, key);
        last !== "";
        last = await ask(router, route.name, key)
    ) {
        if (Date.now() > limit) {
            throw new Error(
                `${router} does not serve account "${account}" after ${limitMilliseconds} ms: ${last}`,
            );
        }
        await sleep(pollMilliseconds);
    }
}

function routeOf(manifest: Manifest, account: string): Route | undefined {
    return manifest.routes.find((route) =>
        route.kind === RouteKind.Model && (route.access.open || route.access.accounts.includes(account))
    );
}

/** Gives the empty text for an answer, and the error's text otherwise. */
async function ask(router: string, model: string, key: string): Promise<string> {
    const answer = await request(`${router}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
        body: JSON.stringify({ model, prompt: "Is the playground ready?", max_tokens: 1 }),
    });
    const text = await answer.body.text();
    return answer.statusCode === 200 ? "" : text;
}

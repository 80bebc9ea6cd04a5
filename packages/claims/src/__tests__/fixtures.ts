/**
 * Fixtures for the tests of claims.
 *
 * @module
 */
import { type FakeClock, silentLogger } from "@redwingpin/common";
import type { MemoryStore } from "@redwingpin/outside";
import type { CallAnswer, ClaimCall } from "../decision/claimCall.js";
import { type Claims, type ClaimsOptions, createClaims } from "../node/claims.js";

const step = 5;

export function makeCall(idempotencyKey: string, body = "stamp 1"): ClaimCall {
    const bytes = Buffer.from(body);
    return {
        account: "maker",
        route: "stamps",
        idempotencyKey,
        method: "POST",
        path: "/stamps",
        body: bytes,
    };
}

export function makeAnswer(text: string): CallAnswer {
    const headers = [{ name: "content-type", value: "text/plain" }];
    return { status: 200, headers, body: Buffer.from(text) };
}

/** Claims of a simulated process, which writes every shard itself. */
export function makeClaims(
    clock: FakeClock,
    store: MemoryStore,
    incarnation: string,
    options: Partial<ClaimsOptions> = {},
): Claims {
    const base = { clock, instance: "router-1", incarnation, store: store.client(), logger: silentLogger };
    return createClaims({ ...base, ...options });
}

/** Advances the clock by `duration` milliseconds in steps, and runs what becomes due in each. */
export async function advanceTime(clock: FakeClock, duration: number): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += step) {
        clock.advance(step);
        await new Promise((resolve) => {
            setImmediate(resolve);
        });
    }
}

/** Resolves with the promise's result after the clock has advanced by `duration` milliseconds. */
export async function resultAfter<T>(clock: FakeClock, duration: number, promise: Promise<T>): Promise<T> {
    await advanceTime(clock, duration);
    return promise;
}

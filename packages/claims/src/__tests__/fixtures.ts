/**
 * Fixtures of the claims' specs.
 *
 * @module
 */
import { type FakeClock, silentLogger } from "@redwingpin/common";
import type { MemoryStore } from "@redwingpin/outside";
import type { CallAnswer, ClaimCall } from "../decision/claimCall.js";
import { type Claims, type ClaimsOptions, createClaims } from "../node/claims.js";

const stepMilliseconds = 5;

/** A call with this idempotency key. */
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

/** A short answer. */
export function makeAnswer(text: string): CallAnswer {
    const headers = [{ name: "content-type", value: "text/plain" }];
    return { status: 200, headers, body: Buffer.from(text) };
}

/** The claims of a simulated process. */
export function makeClaims(
    clock: FakeClock,
    store: MemoryStore,
    incarnation: string,
    options: Partial<ClaimsOptions> = {},
): Claims {
    const base = { clock, instance: "router-1", incarnation, store: store.client(), logger: silentLogger };
    return createClaims({ ...base, ...options });
}

/** Lets `duration` pass, with everything that falls due in it. */
export async function pass(clock: FakeClock, duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += stepMilliseconds) {
        clock.advance(stepMilliseconds);
        await new Promise((resolve) => {
            setImmediate(resolve);
        });
    }
}

/** The outcome of a promise after time has passed. */
export async function after<T>(clock: FakeClock, duration: number, promise: Promise<T>): Promise<T> {
    await pass(clock, duration);
    return promise;
}

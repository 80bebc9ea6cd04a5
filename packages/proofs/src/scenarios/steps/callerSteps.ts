/**
 * Steps of callers.
 *
 * @module
 */
import { crashMarker } from "@redwingpin/playground";
import { CallEnd, CallKind, type CallRecord } from "../callRecord.js";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";

const megabyte = 1_048_576;

/** Steps of this subject. */
export const callerSteps: readonly StepDefinition<World>[] = [
    {
        pattern: "{number} callers keep asking for completions of {number} tokens",
        action: (world, callers, tokens) =>
            startModelLoad(world, CallKind.Completion, Number(callers), Number(tokens)),
    },
    {
        pattern: "{number} callers keep asking for streams of {number} tokens",
        action: (world, callers, tokens) =>
            startModelLoad(world, CallKind.Stream, Number(callers), Number(tokens)),
    },
    {
        pattern: "{number} callers keep sending stamps with idempotency keys",
        action: (world, callers) => startStampLoad(world, Number(callers), true),
    },
    {
        pattern: "{number} callers keep sending stamps without idempotency keys",
        action: (world, callers) => startStampLoad(world, Number(callers), false),
    },
    {
        pattern: "{number} callers of {name} keep asking for {number} tokens without a pause",
        action: (world, callers, account, tokens) =>
            startRateLoad(world, Number(callers), account!, Number(tokens)),
    },
    { pattern: "the callers stop", action: (world) => world.stopLoads() },
    {
        pattern: "a caller asks for the stream {text} of {number} tokens through router {number}",
        action: (world, name, tokens, router) => askForStream(world, name!, Number(tokens), Number(router)),
    },
    {
        pattern: "a caller with a prompt of one megabyte asks for the stream {text} through router {number}",
        action: (world, name, router) => {
            const prompt = `${world.newIdentity()} ${"x".repeat(megabyte)}`;
            sendNamed(world, name!, { kind: CallKind.Stream, prompt, router: world.router(Number(router)) });
        },
    },
    {
        pattern: "a caller sends the stamp {text} through router {number}",
        action: (world, name, router) => sendStamp(world, name!, Number(router), undefined),
    },
    {
        pattern: "a caller sends the stamp {text} with idempotency key {text} through router {number}",
        action: (world, name, idempotencyKey, router) =>
            sendStamp(world, name!, Number(router), idempotencyKey!),
    },
    {
        pattern:
            "a caller sends the stamp {text} with idempotency key {text} through router {number} until it is answered",
        action: (world, name, idempotencyKey, router) =>
            repeatStamp(world, name!, Number(router), idempotencyKey!),
    },
    {
        pattern: "a caller asks for {text} that crashes its engine through router {number}",
        action: (world, name, router) => sendCrashing(world, name!, Number(router)),
    },
    {
        pattern: "at least {number} tokens of {text} have arrived",
        action: async (world, tokens, name) => {
            await world.until(
                `${tokens} tokens of "${name}" have arrived`,
                () => namedCall(world, name!).tokens >= Number(tokens),
            );
        },
    },
    { pattern: "the caller of {text} goes away", action: (world, name) => world.calls.get(name!)!.leave() },
    {
        pattern: "{text} has ended",
        action: async (world, name) => {
            await world.calls.get(name!)!.ended;
        },
    },
    {
        pattern: "at least {number} calls have ended",
        action: async (world, count) => {
            const before = world.records.length;
            await world.until(
                `${count} more calls have ended`,
                () => world.records.length >= before + Number(count),
            );
        },
    },
    { pattern: "{text} is complete", action: (world, name) => expectEnd(world, name!, CallEnd.Complete) },
    {
        pattern: "{text} is answered with a replay",
        action: async (world, name) => {
            const record = await world.calls.get(name!)!.ended;
            expect(record.outcome === "replayed", `"${name}" was answered with ${describe(record)}`);
        },
    },
    {
        pattern: "{text} is refused as {name}",
        action: async (world, name, outcome) => {
            const record = await world.calls.get(name!)!.ended;
            expect(record.outcome === outcome, `"${name}" was answered with ${describe(record)}`);
        },
    },
];

/** Throws where a statement does not hold. */
export function expect(holds: boolean, otherwise: string): asserts holds {
    if (!holds) {
        throw new Error(otherwise);
    }
}

/** What a call came to, for an error message. */
export function describe(record: CallRecord): string {
    const { end, status, outcome, code, tokens, maximumTokens } = record;
    return `${end}, status ${status}, outcome ${outcome}, code ${code}, ${tokens} of ${maximumTokens} tokens`;
}

function namedCall(world: World, name: string): CallRecord {
    const call = world.calls.get(name);
    expect(call !== undefined, `no call is named "${name}"`);
    return call.record;
}

async function expectEnd(world: World, name: string, end: CallEnd): Promise<void> {
    const record = await world.calls.get(name)!.ended;
    expect(record.end === end, `"${name}" ended with ${describe(record)}`);
}

/** Router of the next call: callers are spread, as by the platform's balancer. */
function spread(world: World, caller: number, call: number): string {
    const { routers } = world.playground.state;
    return routers[(caller + call) % routers.length]!;
}

function startModelLoad(world: World, kind: CallKind, callers: number, maximumTokens: number): void {
    world.startLoad(
        callers,
        (caller, call) => world.plan({ kind, maximumTokens, router: spread(world, caller, call) }),
    );
}

function startStampLoad(world: World, callers: number, withKey: boolean): void {
    world.startLoad(callers, (caller, call) => {
        const identity = world.newIdentity();
        const idempotencyKey = withKey ? identity : undefined;
        return world.plan({
            kind: CallKind.Stamp,
            identity,
            idempotencyKey,
            router: spread(world, caller, call),
        });
    });
}

function startRateLoad(world: World, callers: number, account: string, maximumTokens: number): void {
    world.startLoad(
        callers,
        (caller, call) =>
            world.plan({
                kind: CallKind.Completion,
                account,
                maximumTokens,
                router: spread(world, caller, call),
            }),
    );
}

function sendNamed(world: World, name: string, changes: Parameters<World["plan"]>[0]): void {
    world.calls.set(name, world.send(world.plan(changes)));
}

function askForStream(world: World, name: string, maximumTokens: number, router: number): void {
    sendNamed(world, name, { kind: CallKind.Stream, maximumTokens, router: world.router(router) });
}

/** Calls with one idempotency key are the same call, so they have the same body. */
function sendStamp(world: World, name: string, router: number, idempotencyKey: string | undefined): void {
    const identity = idempotencyKey === undefined ? world.newIdentity() : `call with key ${idempotencyKey}`;
    sendNamed(world, name, { kind: CallKind.Stamp, identity, idempotencyKey, router: world.router(router) });
}

async function repeatStamp(
    world: World,
    name: string,
    router: number,
    idempotencyKey: string,
): Promise<void> {
    await world.until(`the stamp "${name}" is answered`, async () => {
        sendStamp(world, name, router, idempotencyKey);
        return (await world.calls.get(name)!.ended).end === CallEnd.Complete;
    });
}

/** Sends the one request that crashes engines, the same body each time, as a caller does that sends it again. */
function sendCrashing(world: World, name: string, router: number): void {
    const prompt = `${crashMarker} in the same words`;
    sendNamed(world, name, { kind: CallKind.Completion, prompt, router: world.router(router) });
}

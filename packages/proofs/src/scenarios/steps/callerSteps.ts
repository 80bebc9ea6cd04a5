/**
 * Steps in which callers send calls.
 *
 * @module
 */
import { crashMarker } from "@redwingpin/playground";
import { CallEnd, CallKind, type CallRecord } from "../callRecord.js";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";

const bytesPerMegabyte = 1_048_576;

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
        pattern: "{number} callers keep sending non-idempotent calls with idempotency keys",
        action: (world, callers) => startNonIdempotentLoad(world, Number(callers), true),
    },
    {
        pattern: "{number} callers keep sending non-idempotent calls without idempotency keys",
        action: (world, callers) => startNonIdempotentLoad(world, Number(callers), false),
    },
    {
        pattern: "{number} callers of {name} keep asking for {number} tokens without a delay",
        action: (world, callers, account, tokens) =>
            startAccountLoad(world, Number(callers), account!, Number(tokens)),
    },
    { pattern: "the callers stop", action: (world) => world.stopLoads() },
    {
        pattern: "a caller asks for the stream {text} of {number} tokens through router {number}",
        action: (world, name, tokens, router) => askForStream(world, name!, Number(tokens), Number(router)),
    },
    {
        pattern: "a caller with a prompt of one megabyte asks for the stream {text} through router {number}",
        action: (world, name, router) => {
            const prompt = `${world.newIdentity()} ${"x".repeat(bytesPerMegabyte)}`;
            sendNamedCall(world, name!, {
                kind: CallKind.Stream,
                prompt,
                router: world.router(Number(router)),
            });
        },
    },
    {
        pattern: "a caller sends the non-idempotent call {text} through router {number}",
        action: (world, name, router) => sendNonIdempotentCall(world, name!, Number(router), undefined),
    },
    {
        pattern:
            "a caller sends the non-idempotent call {text} with idempotency key {text} through router {number}",
        action: (world, name, idempotencyKey, router) =>
            sendNonIdempotentCall(world, name!, Number(router), idempotencyKey!),
    },
    {
        pattern:
            "a caller sends the non-idempotent call {text} with idempotency key {text} through router {number} until it is answered",
        action: (world, name, idempotencyKey, router) =>
            repeatUntilAnswered(world, name!, Number(router), idempotencyKey!),
    },
    {
        pattern: "a caller sends {text}, which crashes its engine, through router {number}",
        action: (world, name, router) => sendCrashingCall(world, name!, Number(router)),
    },
    {
        pattern: "at least {number} tokens of {text} have arrived",
        action: async (world, tokens, name) => {
            await world.waitUntil(
                `${tokens} tokens of "${name}" have arrived`,
                () => namedCall(world, name!).tokens >= Number(tokens),
            );
        },
    },
    {
        pattern: "the caller of {text} disconnects",
        action: (world, name) => world.calls.get(name!)!.disconnect(),
    },
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
            await world.waitUntil(
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
            expect(record.outcome === "replayed", `"${name}" was answered with ${describeRecord(record)}`);
        },
    },
    {
        pattern: "{text} is refused as {name}",
        action: async (world, name, outcome) => {
            const record = await world.calls.get(name!)!.ended;
            expect(record.outcome === outcome, `"${name}" was answered with ${describeRecord(record)}`);
        },
    },
];

/** Throws an error with the message unless the condition holds. */
export function expect(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(message);
    }
}

/** Describes the result of a call, for error messages and reports. */
export function describeRecord(record: CallRecord): string {
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
    expect(record.end === end, `"${name}" ended with ${describeRecord(record)}`);
}

/** Selects the router of a call. Calls are spread over all routers, as by the platform's balancer. */
function selectRouter(world: World, caller: number, call: number): string {
    const { routers } = world.playground.state;
    return routers[(caller + call) % routers.length]!;
}

function startModelLoad(world: World, kind: CallKind, callers: number, maximumTokens: number): void {
    world.startLoad(
        callers,
        (caller, call) => world.planCall({ kind, maximumTokens, router: selectRouter(world, caller, call) }),
    );
}

function startNonIdempotentLoad(world: World, callers: number, hasKey: boolean): void {
    world.startLoad(callers, (caller, call) => {
        const identity = world.newIdentity();
        const idempotencyKey = hasKey ? identity : undefined;
        return world.planCall({
            kind: CallKind.NonIdempotent,
            identity,
            idempotencyKey,
            router: selectRouter(world, caller, call),
        });
    });
}

function startAccountLoad(world: World, callers: number, account: string, maximumTokens: number): void {
    world.startLoad(
        callers,
        (caller, call) =>
            world.planCall({
                kind: CallKind.Completion,
                account,
                maximumTokens,
                router: selectRouter(world, caller, call),
            }),
    );
}

function sendNamedCall(world: World, name: string, overrides: Parameters<World["planCall"]>[0]): void {
    world.calls.set(name, world.send(world.planCall(overrides)));
}

function askForStream(world: World, name: string, maximumTokens: number, router: number): void {
    sendNamedCall(world, name, { kind: CallKind.Stream, maximumTokens, router: world.router(router) });
}

/** Calls with the same idempotency key must have the same body. */
function sendNonIdempotentCall(
    world: World,
    name: string,
    router: number,
    idempotencyKey: string | undefined,
): void {
    const identity = idempotencyKey === undefined ? world.newIdentity() : `call with key ${idempotencyKey}`;
    sendNamedCall(world, name, {
        kind: CallKind.NonIdempotent,
        identity,
        idempotencyKey,
        router: world.router(router),
    });
}

async function repeatUntilAnswered(
    world: World,
    name: string,
    router: number,
    idempotencyKey: string,
): Promise<void> {
    await world.waitUntil(`the call "${name}" is answered`, async () => {
        sendNonIdempotentCall(world, name, router, idempotencyKey);
        return (await world.calls.get(name)!.ended).end === CallEnd.Complete;
    });
}

/** Sends a request that crashes engines. The body is the same in every call, as if one caller sent it repeatedly. */
function sendCrashingCall(world: World, name: string, router: number): void {
    const prompt = `${crashMarker} in the same words`;
    sendNamedCall(world, name, { kind: CallKind.Completion, prompt, router: world.router(router) });
}

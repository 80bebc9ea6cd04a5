/**
 * Steps in which operators submit manifests and check when these take effect.
 *
 * @module
 */
import type { ClientAccount, Manifest, Model } from "@redwingpin/manifest";
import { PlaygroundRole } from "@redwingpin/playground";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";
import type { StepDefinition } from "../stepRegistry.js";
import type { OperatorResult, World } from "../world.js";
import { expect } from "./callerSteps.js";

const millisecondsPerSecond = 1_000;
const statusOk = 200;
const statusUnauthorized = 401;

export const operatorSteps: readonly StepDefinition<World>[] = [
    {
        pattern: "a caller of {name} is connected to every router",
        action: (world, account) => connectToRouters(world, account!),
    },
    {
        pattern: "the operator withdraws the keys of {name}",
        action: (world, account) =>
            applyManifest(world, "operator", changeAccount(world.manifest, account!, { keys: [] })),
    },
    {
        pattern: "the operator sets the rate of {name} to {number} and its burst to {number}",
        action: (world, account, tokensPerSecond, burstTokens) => {
            const rate = { tokensPerSecond: Number(tokensPerSecond), burstTokens: Number(burstTokens) };
            applyManifest(world, "operator", changeAccount(world.manifest, account!, rate));
        },
    },
    {
        pattern: "operators {text} and {text} submit different rates of {name} at the same time",
        action: (world, first, second, account) => {
            applyManifest(world, first!, changeAccount(world.manifest, account!, { tokensPerSecond: 101 }));
            applyManifest(world, second!, changeAccount(world.manifest, account!, { tokensPerSecond: 102 }));
        },
    },
    {
        pattern: "the operator requests {number} replicas of version {name} and the rest of version {name}",
        action: (world, replicas, version, otherVersion) =>
            applyManifest(
                world,
                "operator",
                moveReplicas(world.manifest, version!, Number(replicas), otherVersion!),
            ),
    },
    {
        pattern: "the submission of {text} is accepted",
        action: async (world, name) => {
            const result = await resultOf(world, name!);
            expect(
                result.exitCode === 0,
                `the submission of "${name}" ended with exit code ${result.exitCode}: ${result.errors}`,
            );
        },
    },
    {
        pattern: "the submissions of {text} and {text} have ended, and at least one is accepted",
        action: async (world, first, second) => {
            const results = [await resultOf(world, first!), await resultOf(world, second!)];
            const codes = results.map((result) => result.exitCode);
            world.measurements.push(`exit codes ${codes.join(" and ")}`);
            expect(
                codes.includes(0),
                `both submissions failed: ${results.map((result) => result.errors).join("; ")}`,
            );
        },
    },
    {
        pattern: "every router refuses the key of {name} within {number} seconds",
        action: (world, account, seconds) =>
            waitUntilRefused(world, account!, Number(seconds) * millisecondsPerSecond),
    },
    {
        pattern: "every router is at the same revision within {number} seconds",
        action: async (world, seconds) => {
            const limitMilliseconds = Number(seconds) * millisecondsPerSecond;
            const took = await world.waitUntil("all routers are at the same revision", async () => {
                const currentRevisions = await revisionsOf(world);
                return currentRevisions.every((revision) =>
                    revision !== undefined && revision === currentRevisions[0]
                );
            }, limitMilliseconds);
            world.measurements.push(`same revision ${(await revisionsOf(world))[0]} after ${took} ms`);
        },
    },
    {
        pattern: "no router is at a lower revision than before",
        action: async (world) => {
            const currentRevisions = await revisionsOf(world);
            const before = world.previousRevisions;
            world.previousRevisions = currentRevisions;
            expect(
                currentRevisions.every((revision, index) => (revision ?? 0) >= (before[index] ?? 0)),
                `a router is at a lower revision than before: the routers were at revisions ${
                    before.join(", ")
                } and are at ${currentRevisions.join(", ")}`,
            );
        },
    },
    {
        pattern: "{number} engines serve the weights {name} within {number} seconds",
        action: async (world, count, weights, seconds) => {
            // A {name} in a pattern contains no slash, so steps write the weights drafting/2 as drafting.2.
            const expectedWeights = weights!.replace(".", "/");
            const limitMilliseconds = Number(seconds) * millisecondsPerSecond;
            const took = await world.waitUntil(`${count} engines serve "${expectedWeights}"`, async () => {
                const serving = await weightsOfEngines(world);
                return serving.filter((name) => name === expectedWeights).length === Number(count);
            }, limitMilliseconds);
            world.measurements.push(`${count} engines serve ${expectedWeights} after ${took} ms`);
        },
    },
    {
        pattern: "at most {number} weight loads ran at once",
        action: async (world, limit) => {
            const { mostAtOnce } = await world.callControl<{ mostAtOnce: number; }>(
                "vmList",
                "/control/weights",
            );
            world.measurements.push(`at most ${mostAtOnce} weight loads at once`);
            expect(mostAtOnce <= Number(limit), `${mostAtOnce} weight loads ran at once, more than allowed`);
        },
    },
];

function changeAccount(manifest: Manifest, name: string, changes: Partial<ClientAccount>): Manifest {
    expect(manifest.accounts.some((account) => account.name === name), `account "${name}" does not exist`);
    const accounts = manifest.accounts.map((account) =>
        account.name === name ? { ...account, ...changes } : account
    );
    return { ...manifest, accounts };
}

function moveReplicas(manifest: Manifest, version: string, replicas: number, otherVersion: string): Manifest {
    const move = (model: Model): Model => {
        const total = model.versions.reduce((sum, candidate) => sum + candidate.replicas, 0);
        const versions = model.versions.map((candidate) => {
            if (candidate.name === version) {
                return { ...candidate, replicas };
            }
            return candidate.name === otherVersion ? { ...candidate, replicas: total - replicas } : candidate;
        });
        return { ...model, versions };
    };
    return { ...manifest, models: manifest.models.map(move) };
}

/** Starts the operator's submission and does not wait for its result, which {@link resultOf} returns. */
function applyManifest(world: World, operator: string, manifest: Manifest): void {
    const file = join(world.playground.folder, `manifest-of-${operator}.json`);
    const result = writeFile(file, JSON.stringify(manifest))
        .then(() => world.runOperatorCommand(["manifest", "apply", file]));
    world.operatorResults.set(operator, result);
}

function resultOf(world: World, operator: string): Promise<OperatorResult> {
    const result = world.operatorResults.get(operator);
    expect(result !== undefined, `operator "${operator}" has submitted nothing`);
    return result;
}

/** Status of the answer to a request with an account's key over the persistent connection. */
async function statusOfKey(world: World, router: string, account: string): Promise<number> {
    const answer = await request(`${router}/v1/models`, {
        dispatcher: world.persistentConnections,
        headers: { authorization: `Bearer ${world.keyOf(account)}` },
    });
    await answer.body.dump();
    return answer.statusCode;
}

async function connectToRouters(world: World, account: string): Promise<void> {
    for (const router of world.playground.state.routers) {
        const status = await statusOfKey(world, router, account);
        expect(status === statusOk, `${router} answered the key of "${account}" with status ${status}`);
    }
}

async function waitUntilRefused(world: World, account: string, limitMilliseconds: number): Promise<void> {
    const times = await Promise.all(world.playground.state.routers.map((router) =>
        world.waitUntil(
            `${router} refuses the key of "${account}"`,
            async () => await statusOfKey(world, router, account) === statusUnauthorized,
            limitMilliseconds,
        )
    ));
    world.measurements.push(`the key of ${account} was refused after ${times.join(", ")} ms`);
}

async function revisionsOf(world: World): Promise<(number | undefined)[]> {
    return Promise.all(world.playground.state.routers.map(async (router) => {
        try {
            const answer = await request(`${router}/status`);
            return (await answer.body.json() as { revision?: number; }).revision;
        }
        catch {
            return undefined;
        }
    }));
}

async function weightsOfEngines(world: World): Promise<(string | undefined)[]> {
    const names = world.processNames(PlaygroundRole.Engine).filter((name) =>
        world.playground.child(name).isRunning
    );
    return Promise.all(
        names.map(async (name) =>
            (await world.callControl<{ weights?: string; }>(name, "/control/health")).weights
        ),
    );
}

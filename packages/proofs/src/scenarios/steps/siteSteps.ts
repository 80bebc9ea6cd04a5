/**
 * Steps that set a site up and break its parts.
 *
 * @module
 */
import { PlaygroundRole } from "@redwingpin/playground";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";
import { expect } from "./callerSteps.js";

const endpointRoles: ReadonlySet<PlaygroundRole> = new Set([PlaygroundRole.Engine, PlaygroundRole.Service]);
const millisecondsPerSecond = 1_000;
const stopLimitMilliseconds = 60_000;

/** Steps of this subject. */
export const siteSteps: readonly StepDefinition<World>[] = [
    {
        pattern: "a site with {number} routers, {number} engines and {number} services",
        action: (world, routers, engines, services) =>
            world.start(Number(routers), Number(engines), Number(services)),
    },
    {
        pattern: "engines need {number} ms to the first token and {number} ms between tokens",
        action: (world, first, between) => setEngineDelay(world, Number(first), Number(between)),
    },
    {
        pattern: "services need {number} ms to answer",
        action: async (world, answer) => {
            for (const name of world.namesOf(PlaygroundRole.Service)) {
                await world.control(name, "/control/delay", { answer: Number(answer) });
            }
        },
    },
    {
        pattern: "{number} seconds pass",
        action: (_, seconds) => sleep(Number(seconds) * millisecondsPerSecond),
    },
    {
        pattern: "{name} {number} is killed",
        action: (world, role, number) => kill(world, `${role}-${number}`),
    },
    { pattern: "the {name} is killed", action: (world, name) => kill(world, name!) },
    { pattern: "all routers are killed", action: (world) => killAll(world, PlaygroundRole.Router) },
    { pattern: "all agents are killed", action: (world) => killAll(world, PlaygroundRole.Agent) },
    {
        pattern: "{name} {number} starts again",
        action: async (world, role, number) => {
            await world.playground.restart(`${role}-${number}`);
        },
    },
    { pattern: "all routers start again", action: (world) => restartAll(world, PlaygroundRole.Router) },
    { pattern: "all agents start again", action: (world) => restartAll(world, PlaygroundRole.Agent) },
    {
        pattern: "all routers serve again within {number} second of their start",
        action: (world, seconds) => restartWithin(world, Number(seconds) * millisecondsPerSecond),
    },
    {
        pattern: "{name} {number} is paused",
        action: (world, role, number) => world.playground.child(`${role}-${number}`).signal("SIGSTOP"),
    },
    {
        pattern: "{name} {number} is resumed",
        action: (world, role, number) => world.playground.child(`${role}-${number}`).signal("SIGCONT"),
    },
    {
        pattern: "{name} {number} is told to stop",
        action: (world, role, number) => world.playground.child(`${role}-${number}`).signal("SIGTERM"),
    },
    {
        pattern: "{name} {number} has stopped",
        action: async (world, role, number) => {
            const child = world.playground.child(`${role}-${number}`);
            const took = await world.until(
                `${role} ${number} has stopped`,
                () => !child.isRunning,
                stopLimitMilliseconds,
            );
            world.measures.push(`${role} ${number} stopped after ${took} ms`);
            const { code, signal } = await child.ended;
            if (code !== 0) {
                throw new Error(
                    `${role} ${number} ended with code ${code} and signal ${signal}, not with code 0`,
                );
            }
        },
    },
    {
        pattern: "{name} {number} has crashed",
        action: async (world, role, number) => {
            await world.playground.child(`${role}-${number}`).ended;
        },
    },
    { pattern: "the store is {name}", action: (world, mode) => setOutage(world, mode!) },
    { pattern: "the store loses answers", action: (world) => setOutage(world, "loseAnswers") },
    { pattern: "the VM list lags by {number} ms", action: (world, lag) => setLag(world, Number(lag)) },
    {
        pattern: "the VM list shows {name} {number} as leaving",
        action: (world, role, number) => markLeaving(world, `${role}-${number}`),
    },
    {
        pattern: "the VM list no longer shows {name} {number}",
        action: (world, role, number) => dropMachine(world, `${role}-${number}`),
    },
];

async function setEngineDelay(world: World, firstToken: number, betweenTokens: number): Promise<void> {
    for (const name of world.namesOf(PlaygroundRole.Engine)) {
        await world.control(name, "/control/delay", { firstToken, betweenTokens });
    }
}

async function setOutage(world: World, mode: string): Promise<void> {
    await world.control("store", "/control/outage", { mode });
}

async function setLag(world: World, milliseconds: number): Promise<void> {
    await world.control("vmList", "/control/lag", { milliseconds });
}

async function kill(world: World, name: string): Promise<void> {
    const child = world.playground.child(name);
    if (endpointRoles.has(child.plan.role)) {
        await world.remember(name);
    }
    child.signal("SIGKILL");
    await child.ended;
}

async function killAll(world: World, role: PlaygroundRole): Promise<void> {
    await Promise.all(world.namesOf(role).map((name) => kill(world, name)));
}

async function restartAll(world: World, role: PlaygroundRole): Promise<void> {
    await Promise.all(world.namesOf(role).map((name) => world.playground.restart(name)));
}

/** The time runs from the start of the process; the time until it is alive at all is reported beside it. */
async function restartWithin(world: World, limit: number): Promise<void> {
    const times = await Promise.all(
        world.namesOf(PlaygroundRole.Router).map(async (name) => {
            const start = performance.now();
            const restarted = world.playground.restart(name);
            const alive = await untilAlive(world, world.playground.child(name).plan.address!, start);
            await restarted;
            return { alive, ready: Math.round(performance.now() - start) };
        }),
    );
    const slowest = Math.max(...times.map((time) => time.ready));
    const list = (field: "alive" | "ready") => times.map((time) => time[field]).join(", ");
    world.measures.push(`routers alive ${list("alive")} ms and ready ${list("ready")} ms after their start`);
    expect(slowest <= limit, `a router was ready only ${slowest} ms after its start, more than ${limit} ms`);
}

async function untilAlive(world: World, address: string, start: number): Promise<number> {
    await world.until(`${address} is alive`, async () => {
        try {
            const answer = await request(`${address}/health`);
            await answer.body.dump();
            return true;
        }
        catch {
            return false;
        }
    });
    return Math.round(performance.now() - start);
}

interface ListedMachine {
    readonly targets: readonly string[];
    readonly labels: Readonly<Record<string, string>>;
}

async function markLeaving(world: World, instance: string): Promise<void> {
    await changeMachines(world, (machines) =>
        machines.map((machine) =>
            machine.labels.instance === instance
                ? { ...machine, labels: { ...machine.labels, leaving: "true" } }
                : machine
        ));
}

async function dropMachine(world: World, instance: string): Promise<void> {
    await changeMachines(
        world,
        (machines) => machines.filter((machine) => machine.labels.instance !== instance),
    );
}

async function changeMachines(
    world: World,
    change: (machines: readonly ListedMachine[]) => readonly ListedMachine[],
): Promise<void> {
    const machines = await world.control<ListedMachine[]>("vmList", "/control/virtualMachines");
    await world.replaceMachines(change(machines));
}

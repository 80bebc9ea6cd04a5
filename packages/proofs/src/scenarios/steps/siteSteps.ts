/**
 * Steps that start a site and cause faults in its parts.
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
const stopTimeoutMilliseconds = 60_000;

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
            for (const name of world.processNames(PlaygroundRole.Service)) {
                await world.callControl(name, "/control/delay", { answer: Number(answer) });
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
        action: (world, seconds) => checkRestartTime(world, Number(seconds) * millisecondsPerSecond),
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
        pattern: "{name} {number} receives a stop signal",
        action: (world, role, number) => world.playground.child(`${role}-${number}`).signal("SIGTERM"),
    },
    {
        pattern: "{name} {number} has stopped",
        action: async (world, role, number) => {
            const child = world.playground.child(`${role}-${number}`);
            const took = await world.waitUntil(
                `${role} ${number} has stopped`,
                () => !child.isRunning,
                stopTimeoutMilliseconds,
            );
            world.measurements.push(`${role} ${number} stopped after ${took} ms`);
            const { code, signal } = await child.exited;
            if (code !== 0) {
                throw new Error(
                    `${role} ${number} exited with code ${code} and signal ${signal}, expected code 0`,
                );
            }
        },
    },
    {
        pattern: "{name} {number} has crashed",
        action: async (world, role, number) => {
            await world.playground.child(`${role}-${number}`).exited;
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
        action: (world, role, number) => removeMachine(world, `${role}-${number}`),
    },
];

async function setEngineDelay(world: World, firstToken: number, betweenTokens: number): Promise<void> {
    for (const name of world.processNames(PlaygroundRole.Engine)) {
        await world.callControl(name, "/control/delay", { firstToken, betweenTokens });
    }
}

async function setOutage(world: World, mode: string): Promise<void> {
    await world.callControl("store", "/control/outage", { mode });
}

async function setLag(world: World, milliseconds: number): Promise<void> {
    await world.callControl("vmList", "/control/lag", { milliseconds });
}

async function kill(world: World, name: string): Promise<void> {
    const child = world.playground.child(name);
    if (endpointRoles.has(child.plan.role)) {
        await world.saveObservations(name);
    }
    child.signal("SIGKILL");
    await child.exited;
}

async function killAll(world: World, role: PlaygroundRole): Promise<void> {
    await Promise.all(world.processNames(role).map((name) => kill(world, name)));
}

async function restartAll(world: World, role: PlaygroundRole): Promise<void> {
    await Promise.all(world.processNames(role).map((name) => world.playground.restart(name)));
}

/**
 * Checks the time from the start of each router until it is ready. The time until it first answers is only reported.
 */
async function checkRestartTime(world: World, limitMilliseconds: number): Promise<void> {
    const times = await Promise.all(
        world.processNames(PlaygroundRole.Router).map(async (name) => {
            const start = performance.now();
            const restarted = world.playground.restart(name);
            const alive = await waitUntilAlive(world, world.playground.child(name).plan.address!, start);
            await restarted;
            return { alive, ready: Math.round(performance.now() - start) };
        }),
    );
    const slowestMilliseconds = Math.max(...times.map((time) => time.ready));
    const listTimes = (field: "alive" | "ready") => times.map((time) => time[field]).join(", ");
    world.measurements.push(
        `routers alive ${listTimes("alive")} ms and ready ${listTimes("ready")} ms after their start`,
    );
    expect(
        slowestMilliseconds <= limitMilliseconds,
        `a router was ready ${slowestMilliseconds} ms after its start, more than ${limitMilliseconds} ms`,
    );
}

async function waitUntilAlive(world: World, address: string, start: number): Promise<number> {
    await world.waitUntil(`${address} is alive`, async () => {
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

async function removeMachine(world: World, instance: string): Promise<void> {
    await changeMachines(
        world,
        (machines) => machines.filter((machine) => machine.labels.instance !== instance),
    );
}

async function changeMachines(
    world: World,
    change: (machines: readonly ListedMachine[]) => readonly ListedMachine[],
): Promise<void> {
    const machines = await world.callControl<ListedMachine[]>("vmList", "/control/virtualMachines");
    await world.replaceMachines(change(machines));
}

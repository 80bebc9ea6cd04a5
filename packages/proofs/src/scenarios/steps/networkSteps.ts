/**
 * Steps that partition the network between processes.
 *
 * @module
 */
import { PlaygroundRole } from "@redwingpin/playground";
import { type NetworkLink, PartitionDirection } from "@redwingpin/standins";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";
import { expect } from "./callerSteps.js";

const store = "store";

export const networkSteps: readonly StepDefinition<World>[] = [
    {
        pattern:
            "a site with {number} routers, {number} engines and {number} services on a network that can be partitioned",
        action: (world, routers, engines, services) =>
            world.start(Number(routers), Number(engines), Number(services), true),
    },
    {
        pattern: "router {number} is partitioned from the store",
        action: (world, number) =>
            partitionLinks(
                world,
                PartitionDirection.Both,
                ({ from, to }) => from === `router-${number}` && to === store,
            ),
    },
    {
        pattern: "{name} {number} is partitioned from {name} {number}",
        action: (world, firstRole, firstNumber, secondRole, secondNumber) => {
            const partitionedProcesses = new Set([
                `${firstRole}-${firstNumber}`,
                `${secondRole}-${secondNumber}`,
            ]);
            return partitionLinks(
                world,
                PartitionDirection.Both,
                ({ from, to }) => partitionedProcesses.has(from) && partitionedProcesses.has(to),
            );
        },
    },
    {
        pattern: "nothing from {name} {number} reaches {name} {number}",
        action: (world, fromRole, fromNumber, toRole, toNumber) =>
            partitionOneWay(world, `${fromRole}-${fromNumber}`, `${toRole}-${toNumber}`),
    },
    { pattern: "all routers are partitioned from each other", action: partitionRouters },
    {
        pattern: "data centre {name} is disconnected",
        action: (world, name) => disconnectDataCentre(world, name!),
    },
    {
        pattern: "the network is healed",
        action: async (world) => {
            await world.callControl("network", "/control/heal", {});
        },
    },
];

async function partitionLinks(
    world: World,
    direction: PartitionDirection,
    isAffected: (link: NetworkLink) => boolean,
): Promise<void> {
    const links = (await world.callControl<NetworkLink[]>("network", "/control/links")).filter(isAffected);
    expect(links.length > 0, "no network link connects the processes that the step partitions");
    for (const { from, to } of links) {
        await world.callControl("network", "/control/cut", { from, to, direction });
    }
}

/** Drops what `from` sends, both on the connections that it opened and on those that `to` opened. */
async function partitionOneWay(world: World, from: string, to: string): Promise<void> {
    await partitionLinks(world, PartitionDirection.Forward, (link) => link.from === from && link.to === to);
    await partitionLinks(world, PartitionDirection.Backward, (link) => link.from === to && link.to === from);
}

async function partitionRouters(world: World): Promise<void> {
    const routers = new Set(world.processNames(PlaygroundRole.Router));
    await partitionLinks(
        world,
        PartitionDirection.Both,
        ({ from, to }) => routers.has(from) && routers.has(to),
    );
}

async function disconnectDataCentre(world: World, dataCentre: string): Promise<void> {
    const processesInDataCentre = new Set(
        world.playground.state.processes
            .filter((child) => child.environment.REDWINGPIN_DATA_CENTRE === dataCentre)
            .map((child) => child.name),
    );
    await partitionLinks(
        world,
        PartitionDirection.Both,
        ({ from, to }) => processesInDataCentre.has(from) !== processesInDataCentre.has(to),
    );
}

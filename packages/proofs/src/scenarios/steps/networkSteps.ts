/**
 * Steps that cut the network between processes.
 *
 * @module
 */
import { PlaygroundRole } from "@redwingpin/playground";
import { CutDirection, type NetworkLink } from "@redwingpin/standins";
import type { StepDefinition } from "../stepRegistry.js";
import type { World } from "../world.js";
import { expect } from "./callerSteps.js";

const store = "store";

/** Steps of this subject. */
export const networkSteps: readonly StepDefinition<World>[] = [
    {
        pattern:
            "a site with {number} routers, {number} engines and {number} services on a network that can be cut",
        action: (world, routers, engines, services) =>
            world.start(Number(routers), Number(engines), Number(services), true),
    },
    {
        pattern: "router {number} is cut from the store",
        action: (world, number) =>
            cutWhere(world, CutDirection.Both, ({ from, to }) => from === `router-${number}` && to === store),
    },
    {
        pattern: "{name} {number} is cut from {name} {number}",
        action: (world, firstRole, firstNumber, secondRole, secondNumber) => {
            const ends = new Set([`${firstRole}-${firstNumber}`, `${secondRole}-${secondNumber}`]);
            return cutWhere(world, CutDirection.Both, ({ from, to }) => ends.has(from) && ends.has(to));
        },
    },
    {
        pattern: "nothing from {name} {number} reaches {name} {number}",
        action: (world, fromRole, fromNumber, toRole, toNumber) =>
            cutOneWay(world, `${fromRole}-${fromNumber}`, `${toRole}-${toNumber}`),
    },
    { pattern: "all routers are cut from each other", action: cutRouters },
    { pattern: "data centre {name} is cut off", action: (world, name) => cutDataCentre(world, name!) },
    {
        pattern: "the network is healed",
        action: async (world) => {
            await world.control("network", "/control/heal", {});
        },
    },
];

async function cutWhere(
    world: World,
    direction: CutDirection,
    isCut: (link: NetworkLink) => boolean,
): Promise<void> {
    const links = (await world.control<NetworkLink[]>("network", "/control/links")).filter(isCut);
    expect(links.length > 0, "there is no such link to cut");
    for (const { from, to } of links) {
        await world.control("network", "/control/cut", { from, to, direction });
    }
}

/** Cuts what `from` sends, on the connections that it opened and on those that `to` opened. */
async function cutOneWay(world: World, from: string, to: string): Promise<void> {
    await cutWhere(world, CutDirection.Forward, (link) => link.from === from && link.to === to);
    await cutWhere(world, CutDirection.Backward, (link) => link.from === to && link.to === from);
}

async function cutRouters(world: World): Promise<void> {
    const routers = new Set(world.namesOf(PlaygroundRole.Router));
    await cutWhere(world, CutDirection.Both, ({ from, to }) => routers.has(from) && routers.has(to));
}

async function cutDataCentre(world: World, dataCentre: string): Promise<void> {
    const inside = new Set(
        world.playground.state.processes
            .filter((child) => child.environment.REDWINGPIN_DATA_CENTRE === dataCentre)
            .map((child) => child.name),
    );
    await cutWhere(world, CutDirection.Both, ({ from, to }) => inside.has(from) !== inside.has(to));
}

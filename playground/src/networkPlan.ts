/**
 * The links of a playground whose network can be cut: each router and agent reaches every other one, and each router
 * the store, by a port of its own.
 *
 * @module
 */
import type { NetworkLink, PortAllocator } from "@redwingpin/standins";

/** Name of the store as the end of a link. */
export const storeName = "store";

/** A process that others connect to. */
export interface NetworkMember {
    readonly name: string;
    readonly port: number;
}

/** Plans links between all members. */
export async function planLinks(
    members: readonly NetworkMember[],
    ports: PortAllocator,
): Promise<NetworkLink[]> {
    const links: NetworkLink[] = [];
    for (const from of members) {
        for (const to of members.filter((member) => member !== from)) {
            links.push({ from: from.name, to: to.name, port: await ports.allocate(), targetPort: to.port });
        }
    }
    return links;
}

/** For each reader of the VM list, the address by which it reaches each listed address. */
export function viewsOf(links: readonly NetworkLink[], host: string): Record<string, Record<string, string>> {
    const views: Record<string, Record<string, string>> = {};
    for (const { from, port, targetPort } of links) {
        views[from] ??= {};
        views[from][`${host}:${targetPort}`] = `${host}:${port}`;
    }
    return views;
}

/**
 * Plans the links of a playground with a network stand-in. Each router and agent connects to every other one through a
 * link with its own port. Each router has such a link to the store, too.
 *
 * @module
 */
import type { NetworkLink, PortAllocator } from "@redwingpin/standins";

/** Name of the store in a link. */
export const storeName = "store";

/** A process that others connect to. */
export interface NetworkMember {
    readonly name: string;
    readonly port: number;
}

/** Plans a link from each member to each other one. */
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

/** Maps each reader of the VM list to a map from listed addresses to those that the reader connects to instead. */
export function createReaderViews(
    links: readonly NetworkLink[],
    host: string,
): Record<string, Record<string, string>> {
    const views: Record<string, Record<string, string>> = {};
    for (const { from, port, targetPort } of links) {
        views[from] ??= {};
        views[from][`${host}:${targetPort}`] = `${host}:${port}`;
    }
    return views;
}

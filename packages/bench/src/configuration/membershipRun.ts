/**
 * Measures the traffic of membership at a router: the product's decisions in simulated time.
 *
 * @module
 */
import { type Milliseconds, seededRandom } from "@redwingpin/common";
import { MemberNetwork } from "@redwingpin/membership";
import {
    type MembershipAnswer,
    type MembershipCall,
    MembershipMessageKind,
    ProcessRole,
    Topic,
} from "@redwingpin/protocol";
import { wireBytes } from "./wireBytes.js";

/** Results for one fleet. */
export interface MembershipMeasures {
    readonly routers: number;
    readonly agents: number;
    /** Bytes per second that a router sends, including the answers to its pings; mean over all routers. */
    readonly routerBytesPerSecond: number;
    /** Reads of the VM list per second, over all routers. */
    readonly listReadsPerSecond: number;
    /** Entries of the VM list that one router reads per second. */
    readonly listEntriesPerSecond: number;
}

const firstPort = 1;
const settleTime: Milliseconds = 30_000;
const measuredTime: Milliseconds = 30_000;
const millisecondsPerSecond = 1_000;
const latency: Milliseconds = 1;

/** Simulates one fleet without failures. */
export function runMembership(
    routers: number,
    agentsPerRouter: number,
    dataCentres: number,
    seed: number,
): MembershipMeasures {
    let sentBytes = 0;
    let listReads = 0;
    let listEntries = 0;
    const network = new MemberNetwork({
        random: seededRandom(seed),
        latency,
        onSend: (_from, body) => {
            sentBytes += wireBytes(Topic.Membership, body, isCall(body));
        },
        onListRead: (_by, entries) => {
            listReads++;
            listEntries += entries;
        },
    });
    let port = firstPort;
    for (let index = 0; index < routers; index++) {
        const dataCentre = `dc-${index % dataCentres}`;
        network.start(`router-${index}`, ProcessRole.Router, port++, dataCentre);
        for (let agent = 0; agent < agentsPerRouter; agent++) {
            network.start(`agent-${index}-${agent}`, ProcessRole.Agent, port++, dataCentre);
        }
    }
    network.list = [...network.members.keys()].map((instance) => network.listEntry(instance));
    network.advance(settleTime);
    sentBytes = 0;
    listReads = 0;
    listEntries = 0;
    network.advance(measuredTime);
    const seconds = measuredTime / millisecondsPerSecond;
    return {
        routers,
        agents: routers * agentsPerRouter,
        routerBytesPerSecond: sentBytes / seconds / routers,
        listReadsPerSecond: listReads / seconds,
        listEntriesPerSecond: listEntries / seconds / routers,
    };
}

function isCall(body: MembershipCall | MembershipAnswer): boolean {
    return body.kind === MembershipMessageKind.Ping || body.kind === MembershipMessageKind.PingRequest;
}

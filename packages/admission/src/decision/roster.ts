/**
 * The roster: which router holds which position, and so which slots of which accounts.
 *
 * A position belongs to a router's VM for the lifetime of the VM. It is reassigned only when the VM list no longer
 * has the VM, or when the router has released it for good because its VM is leaving. A router that finds itself in
 * any roster, however old, therefore still holds that position, and a router that restarts need not wait for the
 * store.
 *
 * @module
 */
import { rendezvousScore } from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import { rosterPositions, rosterSpread } from "../constants.js";

/** The holder of each position. */
export interface Roster {
    /** Incremented by each change; 0 for the roster before its first write. */
    readonly epoch: number;
    /** Instance that holds each position; `undefined` for a vacant position. */
    readonly holders: readonly (string | undefined)[];
}

/** A router in the VM list. */
export interface RouterMember {
    readonly instance: string;
    /** True once the VM is to leave the fleet; it gets no further positions. */
    readonly leaving: boolean;
}

/** The roster before its first write. */
export const emptyRoster: Roster = {
    epoch: 0,
    holders: new Array<string | undefined>(rosterPositions).fill(undefined),
};

/** Position of slot `index` of an account; the slots of an account have consecutive positions. */
export function positionOf(account: string, index: number): number {
    return (rendezvousScore("rates", account) + index) % rosterPositions;
}

interface RosterRecord {
    readonly epoch: number;
    readonly instances: readonly string[];
    /** Index into `instances` for each position; -1 for none. */
    readonly holders: readonly number[];
}

/** Encodes a roster as the text of its store record. */
export function encodeRoster(roster: Roster): string {
    const instances = [...new Set(roster.holders)].filter((holder) => holder !== undefined);
    const indices = new Map(instances.map((instance, index) => [instance, index]));
    const holders = roster.holders.map((holder) => holder === undefined ? -1 : indices.get(holder)!);
    const record: RosterRecord = { epoch: roster.epoch, instances, holders };
    return JSON.stringify(record);
}

/** Decodes a roster from the text of its store record. */
export function decodeRoster(text: string): Result<Roster, string> {
    let record: Partial<RosterRecord>;
    try {
        record = JSON.parse(text) as Partial<RosterRecord>;
    }
    catch {
        return err("the roster record is not JSON");
    }
    const { epoch, instances, holders } = record;
    if (!Number.isSafeInteger(epoch) || !Array.isArray(instances) || !Array.isArray(holders)) {
        return err("the roster record lacks epoch, instances or holders");
    }
    if (holders.length !== rosterPositions) {
        return err(`the roster record has ${holders.length} positions, expected ${rosterPositions}`);
    }
    return ok({ epoch: epoch!, holders: holders.map((index: number) => instances[index]) });
}

/** Options of {@link repairRoster}. */
export interface RepairOptions {
    /** Routers of the VM list. */
    readonly members: readonly RouterMember[];
    /** Routers that have departed: their VM has been removed for good. */
    readonly departed: ReadonlySet<string>;
    /** True while routers may be starting that are not in the list yet; some positions stay vacant for them. */
    readonly reserveForNewRouters: boolean;
    /** Router that releases its positions because its VM is leaving. */
    readonly released?: string;
}

/** Reassigns every vacant position and those of departed routers; returns `undefined` if nothing has to change. */
export function repairRoster(roster: Roster, options: RepairOptions): Roster | undefined {
    const eligible = options.members
        .filter((member) => !member.leaving && member.instance !== options.released)
        .map((member) => member.instance)
        .sort();
    const losesPositions = (holder: string) => holder === options.released || options.departed.has(holder);
    const holders = roster.holders.map((holder) =>
        holder === undefined || losesPositions(holder) ? undefined : holder
    );
    assignVacantPositions(holders, eligible, options.reserveForNewRouters);
    const changed = holders.some((holder, position) => holder !== roster.holders[position]);
    return changed ? { epoch: roster.epoch + 1, holders } : undefined;
}

function assignVacantPositions(
    holders: (string | undefined)[],
    eligible: readonly string[],
    reserveForNewRouters: boolean,
): void {
    const loads = new Map(eligible.map((router) => [router, 0]));
    for (const holder of holders) {
        if (loads.has(holder ?? "")) {
            loads.set(holder!, loads.get(holder!)! + 1);
        }
    }
    const maxLoad = reserveForNewRouters
        ? Math.ceil(holders.length / Math.max(rosterSpread, eligible.length))
        : holders.length;
    for (const position of holders.keys()) {
        if (holders[position] === undefined) {
            const router = selectNewHolder(holders, position, loads, maxLoad);
            if (router === undefined) {
                return;
            }
            holders[position] = router;
            loads.set(router, loads.get(router)! + 1);
        }
    }
}

function selectNewHolder(
    holders: readonly (string | undefined)[],
    position: number,
    loads: ReadonlyMap<string, number>,
    maxLoad: number,
): string | undefined {
    const neighbours = neighboursOf(holders, position);
    let best: string | undefined;
    let bestCost = Infinity;
    for (const [router, load] of loads) {
        const ownNeighbours = neighbours.filter((neighbour) => neighbour === router).length;
        const cost = load + ownNeighbours * holders.length;
        if (load < maxLoad && cost < bestCost) {
            best = router;
            bestCost = cost;
        }
    }
    return best;
}

function neighboursOf(holders: readonly (string | undefined)[], position: number): (string | undefined)[] {
    const neighbours: (string | undefined)[] = [];
    for (let distance = 1; distance < rosterSpread; distance++) {
        neighbours.push(holders[(position + distance) % holders.length]);
        neighbours.push(holders[(position - distance + holders.length) % holders.length]);
    }
    return neighbours;
}

/** A router that holds some slots of an account. */
export interface AccountHolder {
    readonly instance: string;
    /** Slots of the account that the instance holds. */
    readonly slots: readonly number[];
}

/** Holders of the first `slots` slots of an account, in order of their first slot. */
export function holdersOf(roster: Roster, account: string, slots: number): AccountHolder[] {
    const first = positionOf(account, 0);
    const byInstance = new Map<string, number[]>();
    for (let index = 0; index < slots; index++) {
        const instance = roster.holders[(first + index) % rosterPositions];
        if (instance !== undefined) {
            byInstance.set(instance, [...byInstance.get(instance) ?? [], index]);
        }
    }
    return [...byInstance].map(([instance, held]) => ({ instance, slots: held }));
}

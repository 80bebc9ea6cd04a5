/**
 * The roster: which router holds which position, and so which slots of which accounts.
 *
 * A position belongs to a router's VM for the VM's life. It passes on only when the VM list has dropped the VM, or
 * when the router has given it up for good because its VM leaves. A router that reads itself in any roster, however
 * old, therefore still holds that position, and a router that restarts need not wait for the store.
 *
 * @module
 */
import { rendezvousScore } from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import { rosterPositions, rosterSpread } from "../constants.js";

/** Who holds which position. */
export interface Roster {
    /** Grows by one with each change; 0 for the roster that nobody has written yet. */
    readonly epoch: number;
    /** Instance that holds each position; `undefined` for a position without holder. */
    readonly holders: readonly (string | undefined)[];
}

/** A router as the VM list shows it. */
export interface RouterMember {
    readonly instance: string;
    /** True once the VM has been told to leave; it gets no further positions. */
    readonly leaving: boolean;
}

/** The roster before its first write. */
export const emptyRoster: Roster = {
    epoch: 0,
    holders: new Array<string | undefined>(rosterPositions).fill(undefined),
};

/** Position of slot `index` of an account; slots of one account stand side by side. */
export function positionOf(account: string, index: number): number {
    return (rendezvousScore("rates", account) + index) % rosterPositions;
}

interface RosterRecord {
    readonly epoch: number;
    readonly instances: readonly string[];
    /** Index into `instances` for each position; -1 for none. */
    readonly holders: readonly number[];
}

/** Text of a roster for its store record. */
export function encodeRoster(roster: Roster): string {
    const instances = [...new Set(roster.holders)].filter((holder) => holder !== undefined);
    const indices = new Map(instances.map((instance, index) => [instance, index]));
    const holders = roster.holders.map((holder) => holder === undefined ? -1 : indices.get(holder)!);
    const record: RosterRecord = { epoch: roster.epoch, instances, holders };
    return JSON.stringify(record);
}

/** Reads a roster from the text of its store record. */
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
        return err(`the roster record has ${holders.length} positions in place of ${rosterPositions}`);
    }
    return ok({ epoch: epoch!, holders: holders.map((index: number) => instances[index]) });
}

/** Options of {@link repairRoster}. */
export interface RepairOptions {
    /** Routers of the VM list. */
    readonly members: readonly RouterMember[];
    /** Routers whose VM is gone for good. */
    readonly gone: ReadonlySet<string>;
    /** True while routers may still be starting that the list does not show; room is left for them. */
    readonly leaveRoom: boolean;
    /** Router that gives up its positions because its VM leaves. */
    readonly released?: string;
}

/** The roster with every position of a gone router passed on; `undefined` where nothing is to be changed. */
export function repairRoster(roster: Roster, options: RepairOptions): Roster | undefined {
    const takers = options.members
        .filter((member) => !member.leaving && member.instance !== options.released)
        .map((member) => member.instance)
        .sort();
    const loses = (holder: string) => holder === options.released || options.gone.has(holder);
    const holders = roster.holders.map((holder) =>
        holder === undefined || loses(holder) ? undefined : holder
    );
    passOn(holders, takers, options.leaveRoom);
    const changed = holders.some((holder, position) => holder !== roster.holders[position]);
    return changed ? { epoch: roster.epoch + 1, holders } : undefined;
}

function passOn(holders: (string | undefined)[], takers: readonly string[], leaveRoom: boolean): void {
    const loads = new Map(takers.map((taker) => [taker, 0]));
    for (const holder of holders) {
        if (loads.has(holder ?? "")) {
            loads.set(holder!, loads.get(holder!)! + 1);
        }
    }
    const most = leaveRoom
        ? Math.ceil(holders.length / Math.max(rosterSpread, takers.length))
        : holders.length;
    for (const position of holders.keys()) {
        if (holders[position] === undefined) {
            const taker = chooseTaker(holders, position, loads, most);
            if (taker === undefined) {
                return;
            }
            holders[position] = taker;
            loads.set(taker, loads.get(taker)! + 1);
        }
    }
}

function chooseTaker(
    holders: readonly (string | undefined)[],
    position: number,
    loads: ReadonlyMap<string, number>,
    most: number,
): string | undefined {
    const neighbours = neighboursOf(holders, position);
    let best: string | undefined;
    let bestCost = Infinity;
    for (const [taker, load] of loads) {
        const crowding = neighbours.filter((neighbour) => neighbour === taker).length;
        const cost = load + crowding * holders.length;
        if (load < most && cost < bestCost) {
            best = taker;
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

/** A holder of some slots of an account. */
export interface AccountHolder {
    readonly instance: string;
    /** Slots of the account that the instance holds. */
    readonly slots: readonly number[];
}

/** Holders of an account's first `slots` slots, in order of their first slot. */
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

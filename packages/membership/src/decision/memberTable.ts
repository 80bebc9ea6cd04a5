/**
 * What a process knows of the members, and how news, answers and the VM list change it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import { type MemberEntry, MemberState, ProcessRole } from "@redwingpin/protocol";
import { suspicionTime, tombstoneTime } from "../constants.js";

const stateOrder: Readonly<Record<MemberState, number>> = {
    [MemberState.Alive]: 0,
    [MemberState.Suspect]: 1,
    [MemberState.Leaving]: 2,
    [MemberState.Dead]: 3,
};

/** A member with what only this process knows of it. */
export interface Member {
    readonly entry: MemberEntry;
    /** True while the last reading of the VM list shows it. */
    readonly isListed: boolean;
    /** True while the last reading shows its VM as leaving; the process itself may not know and say otherwise. */
    readonly isListedLeaving: boolean;
    /** Time since which it has been suspected or found silent; `undefined` while it is not. */
    readonly silentSince: Milliseconds | undefined;
    /** Time of its last answer to this process; `undefined` before the first. */
    readonly answeredAt: Milliseconds | undefined;
    readonly diedAt: Milliseconds | undefined;
}

/** Whether `next` says more than `known`. */
export function supersedes(next: MemberEntry, known: MemberEntry): boolean {
    return next.epoch > known.epoch
        || (next.epoch === known.epoch && stateOrder[next.state] > stateOrder[known.state]);
}

/** Whether a member leaves, by its own word or by that of the VM list. */
export function isLeaving(member: Member): boolean {
    return member.isListedLeaving || member.entry.state === MemberState.Leaving;
}

/** The table of one process. Each change that others should hear of is handed to `onNews`. */
export class MemberTable {
    private readonly members = new Map<string, Member>();
    private hasReadList = false;
    private changes = 0;
    private self: MemberEntry;

    constructor(self: MemberEntry, private readonly onNews: (entry: MemberEntry) => void) {
        this.self = self;
    }

    /** This process's own entry. */
    get own(): MemberEntry {
        return this.self;
    }

    /** Grows whenever a member comes, goes, moves, or begins to leave; suspicion alone does not count. */
    get version(): number {
        return this.changes;
    }

    /** Every member but this process. */
    all(): Member[] {
        return [...this.members.values()];
    }

    get(instance: string): Member | undefined {
        return this.members.get(instance);
    }

    /** States the port on which this process listens. */
    listensOn(port: number): void {
        this.self = { ...this.self, port };
    }

    /** States that this process leaves. */
    leave(): void {
        this.self = { ...this.self, state: MemberState.Leaving };
        this.onNews(this.self);
    }

    /** Takes in news; a higher epoch alone is none for others. What is said of this process itself is contradicted where it is wrong. */
    merge(entry: MemberEntry, now: Milliseconds): void {
        if (entry.instance === this.self.instance) {
            return this.contradict(entry);
        }
        const known = this.members.get(entry.instance);
        if (known !== undefined && !supersedes(entry, known.entry)) {
            return;
        }
        if (known === undefined && entry.state === MemberState.Dead) {
            return;
        }
        const reached = known !== undefined && isUnspecifiedHost(entry.host)
            ? { ...entry, host: known.entry.host }
            : entry;
        this.put(known, reached, now);
        if (
            known === undefined || !isUsedAlike(known.entry, reached) || reached.state !== known.entry.state
        ) {
            this.onNews(reached);
        }
    }

    /** The member answered this process: its own entry is the newest there is. */
    answered(entry: MemberEntry, now: Milliseconds): void {
        this.merge(entry, now);
        const member = this.members.get(entry.instance);
        if (member !== undefined && member.entry.epoch <= entry.epoch) {
            this.members.set(entry.instance, {
                ...member,
                answeredAt: now,
                silentSince: member.entry.state === MemberState.Suspect ? member.silentSince : undefined,
            });
        }
    }

    /** The member answered neither this process nor those that it asked. */
    silent(instance: string, now: Milliseconds): void {
        const member = this.members.get(instance);
        if (member === undefined || member.silentSince !== undefined || member.diedAt !== undefined) {
            return;
        }
        const { entry } = member;
        if (entry.state === MemberState.Alive) {
            this.merge({ ...entry, state: MemberState.Suspect }, now);
            return;
        }
        this.members.set(instance, { ...member, silentSince: now });
    }

    /** Another process answers at the member's address. */
    displaced(instance: string, now: Milliseconds): void {
        const member = this.members.get(instance);
        if (member !== undefined && member.diedAt === undefined) {
            this.merge({ ...member.entry, state: MemberState.Dead }, now);
        }
    }

    /** Declares the long silent dead and forgets the long dead that the list no longer shows. */
    expire(now: Milliseconds): void {
        const patience = suspicionTime * Math.max(1, Math.log10(this.members.size + 1));
        for (const member of this.all()) {
            const { entry, silentSince, diedAt } = member;
            if (diedAt !== undefined) {
                if (!member.isListed && now - diedAt >= tombstoneTime) {
                    this.members.delete(entry.instance);
                    this.changes++;
                }
            }
            else if (silentSince !== undefined && now - silentSince >= patience) {
                this.merge({ ...entry, state: MemberState.Dead }, now);
            }
        }
    }

    /** Takes in a reading of the VM list, which lags: it adds members and says who leaves, but removes no one that lives. */
    readList(machines: readonly VirtualMachine[], now: Milliseconds): void {
        const listed = new Set(machines.map((machine) => machine.instance));
        for (const machine of machines) {
            if (machine.instance === this.self.instance) {
                this.readOwnMachine(machine);
            }
            else {
                this.readMachine(machine, now);
            }
        }
        const leaving = new Set(
            machines.filter((machine) => machine.leaving).map((machine) => machine.instance),
        );
        for (const member of this.all()) {
            const isListed = listed.has(member.entry.instance);
            const isListedLeaving = leaving.has(member.entry.instance);
            if (isListed !== member.isListed || isListedLeaving !== member.isListedLeaving) {
                this.changes += isListedLeaving === member.isListedLeaving ? 0 : 1;
                this.members.set(member.entry.instance, { ...member, isListed, isListedLeaving });
            }
        }
        this.hasReadList = true;
    }

    /** Whether the list has been read once. */
    get isInitialized(): boolean {
        return this.hasReadList;
    }

    /** A process that listens on all addresses learns from the list by which one others reach it. */
    private readOwnMachine(machine: VirtualMachine): void {
        if (isUnspecifiedHost(this.self.host)) {
            this.self = { ...this.self, host: machine.host };
        }
    }

    private readMachine(machine: VirtualMachine, now: Milliseconds): void {
        const known = this.members.get(machine.instance);
        if (known === undefined) {
            const entry = entryOf(machine);
            this.put(undefined, entry, now);
            if (this.hasReadList) {
                this.onNews(entry);
            }
            return;
        }
        if (isElsewhere(known.entry, machine) && !isProven(known, now)) {
            const { host, port, dataCentre, pool } = machine;
            const moved = { ...known.entry, host, port, dataCentre, pool };
            this.members.set(machine.instance, { ...known, entry: moved });
            this.changes++;
        }
        if (machine.leaving) {
            this.merge({ ...known.entry, state: MemberState.Leaving }, now);
        }
    }

    private put(known: Member | undefined, entry: MemberEntry, now: Milliseconds): void {
        const isSilent = entry.state === MemberState.Suspect;
        this.changes += known !== undefined && isUsedAlike(known.entry, entry) ? 0 : 1;
        const keepsSilence = entry.state === MemberState.Leaving && known?.entry.epoch === entry.epoch;
        this.members.set(entry.instance, {
            entry,
            isListed: known?.isListed ?? false,
            isListedLeaving: known?.isListedLeaving ?? false,
            silentSince: isSilent ? now : keepsSilence ? known?.silentSince : undefined,
            answeredAt: known?.answeredAt,
            diedAt: entry.state === MemberState.Dead ? now : undefined,
        });
    }

    private contradict(entry: MemberEntry): void {
        if (!supersedes(entry, this.self)) {
            return;
        }
        this.self = { ...this.self, epoch: entry.epoch + 1 };
        this.onNews(this.self);
    }
}

/** Whether a host stands for every address of its VM. */
export function isUnspecifiedHost(host: string): boolean {
    return host === "0.0.0.0" || host === "::";
}

/** Whether two entries of one member lead to the same use of it. */
function isUsedAlike(left: MemberEntry, right: MemberEntry): boolean {
    return left.host === right.host && left.port === right.port && useOf(left.state) === useOf(right.state);
}

function useOf(state: MemberState): MemberState {
    return state === MemberState.Suspect ? MemberState.Alive : state;
}

/** Time after an answer within which the address that answered is preferred to the list's. */
const provenTime: Milliseconds = 5_000;

function isProven(member: Member, now: Milliseconds): boolean {
    return member.answeredAt !== undefined && now - member.answeredAt < provenTime;
}

function isElsewhere(entry: MemberEntry, machine: VirtualMachine): boolean {
    return entry.host !== machine.host || entry.port !== machine.port;
}

function entryOf(machine: VirtualMachine): MemberEntry {
    const { instance, host, port, dataCentre, pool, leaving } = machine;
    return {
        instance,
        role: machine.role === VirtualMachineRole.Router ? ProcessRole.Router : ProcessRole.Agent,
        host,
        port,
        dataCentre,
        pool,
        epoch: 0,
        state: leaving ? MemberState.Leaving : MemberState.Alive,
    };
}

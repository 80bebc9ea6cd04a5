/**
 * A process's table of the members, and how updates, answers and the VM list change it.
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

/** A member's entry with state that is local to this process. */
export interface Member {
    readonly entry: MemberEntry;
    /** True if the last read VM list contains the member. */
    readonly isListed: boolean;
    /** True if the last read VM list marks the VM as leaving; the process itself may not know and report otherwise. */
    readonly isListedLeaving: boolean;
    /** Time at which the member became suspect or unresponsive; `undefined` if it is neither. */
    readonly unresponsiveSince: Milliseconds | undefined;
    /** Time of the last answer or call that this process received from the member; `undefined` before the first. */
    readonly answeredAt: Milliseconds | undefined;
    /** Time at which the member was declared dead; `undefined` if it is not dead. */
    readonly diedAt: Milliseconds | undefined;
}

/** Whether `next` takes precedence over `known`: it has a later epoch, or a later state in the same epoch. */
export function supersedes(next: MemberEntry, known: MemberEntry): boolean {
    return next.epoch > known.epoch
        || (next.epoch === known.epoch && stateOrder[next.state] > stateOrder[known.state]);
}

/** Whether a member is leaving, as reported by itself or by the VM list. */
export function isLeaving(member: Member): boolean {
    return member.isListedLeaving || member.entry.state === MemberState.Leaving;
}

/** The member table of one process. `onUpdate` receives each change that is to be sent to other members. */
export class MemberTable {
    private readonly members = new Map<string, Member>();
    private hasReadList = false;
    private changeCount = 0;
    private self: MemberEntry;

    constructor(self: MemberEntry, private readonly onUpdate: (entry: MemberEntry) => void) {
        this.self = self;
    }

    /** This process's own entry. */
    get own(): MemberEntry {
        return this.self;
    }

    /** Increases when a member joins, dies, is removed, changes its address or starts to leave; not on suspicion. */
    get version(): number {
        return this.changeCount;
    }

    /** Every member but this process. */
    all(): Member[] {
        return [...this.members.values()];
    }

    get(instance: string): Member | undefined {
        return this.members.get(instance);
    }

    /** Sets the port in this process's entry. */
    setPort(port: number): void {
        this.self = { ...this.self, port };
    }

    /** Marks this process as leaving. */
    leave(): void {
        this.self = { ...this.self, state: MemberState.Leaving };
        this.onUpdate(this.self);
    }

    /**
     * Merges an entry. An entry that differs in its epoch only is not forwarded as an update. A wrong entry about this
     * process is refuted.
     */
    merge(entry: MemberEntry, now: Milliseconds): void {
        if (entry.instance === this.self.instance) {
            return this.refute(entry);
        }
        const known = this.members.get(entry.instance);
        if (known !== undefined && !supersedes(entry, known.entry)) {
            return;
        }
        if (known === undefined && entry.state === MemberState.Dead) {
            return;
        }
        const reachable = known !== undefined && isUnspecifiedHost(entry.host)
            ? { ...entry, host: known.entry.host }
            : entry;
        this.storeEntry(known, reachable, now);
        if (
            known === undefined || !hasSameUse(known.entry, reachable)
            || reachable.state !== known.entry.state
        ) {
            this.onUpdate(reachable);
        }
    }

    /** Records that the member answered or called this process. The entry that it sent is the latest one. */
    recordContact(entry: MemberEntry, now: Milliseconds): void {
        this.merge(entry, now);
        const member = this.members.get(entry.instance);
        if (member !== undefined && member.entry.epoch <= entry.epoch) {
            this.members.set(entry.instance, {
                ...member,
                answeredAt: now,
                unresponsiveSince: member.entry.state === MemberState.Suspect
                    ? member.unresponsiveSince
                    : undefined,
            });
        }
    }

    /** Records that the member answered neither this process nor the routers that were asked to ping it. */
    recordNoAnswer(instance: string, now: Milliseconds): void {
        const member = this.members.get(instance);
        if (member === undefined || member.unresponsiveSince !== undefined || member.diedAt !== undefined) {
            return;
        }
        const { entry } = member;
        if (entry.state === MemberState.Alive) {
            this.merge({ ...entry, state: MemberState.Suspect }, now);
            return;
        }
        this.members.set(instance, { ...member, unresponsiveSince: now });
    }

    /** Records that another instance answered at the member's address: the member is dead. */
    recordAddressReuse(instance: string, now: Milliseconds): void {
        const member = this.members.get(instance);
        if (member !== undefined && member.diedAt === undefined) {
            this.merge({ ...member.entry, state: MemberState.Dead }, now);
        }
    }

    /** Declares members dead after the suspicion time, and removes dead ones that have long left the VM list. */
    expire(now: Milliseconds): void {
        const suspicionTimeout = suspicionTime * Math.max(1, Math.log10(this.members.size + 1));
        for (const member of this.all()) {
            const { entry, unresponsiveSince, diedAt } = member;
            if (diedAt !== undefined) {
                if (!member.isListed && now - diedAt >= tombstoneTime) {
                    this.members.delete(entry.instance);
                    this.changeCount++;
                }
            }
            else if (unresponsiveSince !== undefined && now - unresponsiveSince >= suspicionTimeout) {
                this.merge({ ...entry, state: MemberState.Dead }, now);
            }
        }
    }

    /** Applies a VM list. Since the list lags, it adds members and marks leaving ones, but never removes live ones. */
    applyList(machines: readonly VirtualMachine[], now: Milliseconds): void {
        const listed = new Set(machines.map((machine) => machine.instance));
        for (const machine of machines) {
            if (machine.instance === this.self.instance) {
                this.applyOwnMachine(machine);
            }
            else {
                this.applyMachine(machine, now);
            }
        }
        const leaving = new Set(
            machines.filter((machine) => machine.leaving).map((machine) => machine.instance),
        );
        for (const member of this.all()) {
            const isListed = listed.has(member.entry.instance);
            const isListedLeaving = leaving.has(member.entry.instance);
            if (isListed !== member.isListed || isListedLeaving !== member.isListedLeaving) {
                this.changeCount += isListedLeaving === member.isListedLeaving ? 0 : 1;
                this.members.set(member.entry.instance, { ...member, isListed, isListedLeaving });
            }
        }
        this.hasReadList = true;
    }

    /** Whether the VM list has been read at least once. */
    get isInitialized(): boolean {
        return this.hasReadList;
    }

    /** If this process listens on all addresses, the VM list provides the one at which others reach it. */
    private applyOwnMachine(machine: VirtualMachine): void {
        if (isUnspecifiedHost(this.self.host)) {
            this.self = { ...this.self, host: machine.host };
        }
    }

    private applyMachine(machine: VirtualMachine, now: Milliseconds): void {
        const known = this.members.get(machine.instance);
        if (known === undefined) {
            const entry = entryOf(machine);
            this.storeEntry(undefined, entry, now);
            if (this.hasReadList) {
                this.onUpdate(entry);
            }
            return;
        }
        if (hasOtherAddress(known.entry, machine) && !isAddressConfirmed(known, now)) {
            const { host, port, dataCentre, pool } = machine;
            const moved = { ...known.entry, host, port, dataCentre, pool };
            this.members.set(machine.instance, { ...known, entry: moved });
            this.changeCount++;
        }
        if (machine.leaving) {
            this.merge({ ...known.entry, state: MemberState.Leaving }, now);
        }
    }

    private storeEntry(known: Member | undefined, entry: MemberEntry, now: Milliseconds): void {
        const isSuspect = entry.state === MemberState.Suspect;
        this.changeCount += known !== undefined && hasSameUse(known.entry, entry) ? 0 : 1;
        const staysUnresponsive = entry.state === MemberState.Leaving && known?.entry.epoch === entry.epoch;
        this.members.set(entry.instance, {
            entry,
            isListed: known?.isListed ?? false,
            isListedLeaving: known?.isListedLeaving ?? false,
            unresponsiveSince: isSuspect ? now : staysUnresponsive ? known?.unresponsiveSince : undefined,
            answeredAt: known?.answeredAt,
            diedAt: entry.state === MemberState.Dead ? now : undefined,
        });
    }

    /** Raises this process's epoch above that of a wrong entry about it, so that its own entry takes precedence. */
    private refute(entry: MemberEntry): void {
        if (!supersedes(entry, this.self)) {
            return;
        }
        this.self = { ...this.self, epoch: entry.epoch + 1 };
        this.onUpdate(this.self);
    }
}

/** Whether a host is the unspecified address: a process that listens on it listens on all addresses of its VM. */
export function isUnspecifiedHost(host: string): boolean {
    return host === "0.0.0.0" || host === "::";
}

/** Whether two entries of a member have the same address and the same state; suspect counts as alive. */
function hasSameUse(left: MemberEntry, right: MemberEntry): boolean {
    return left.host === right.host && left.port === right.port
        && stateForUse(left.state) === stateForUse(right.state);
}

function stateForUse(state: MemberState): MemberState {
    return state === MemberState.Suspect ? MemberState.Alive : state;
}

/** For this time after an answer, the address that answered takes precedence over the one on the VM list. */
const addressConfirmationTime: Milliseconds = 5_000;

function isAddressConfirmed(member: Member, now: Milliseconds): boolean {
    return member.answeredAt !== undefined && now - member.answeredAt < addressConfirmationTime;
}

function hasOtherAddress(entry: MemberEntry, machine: VirtualMachine): boolean {
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

/**
 * The failure detection of one router: in each period it pings one router and one agent that it owns, asks other
 * routers to ping a member that does not answer, and includes membership updates in these messages.
 *
 * @module
 */
import { assertNever, type Milliseconds, type RandomSource } from "@redwingpin/common";
import type { VirtualMachine } from "@redwingpin/outside";
import {
    type MemberEntry,
    type MembershipAcknowledgement,
    type MembershipCall,
    MembershipMessageKind,
    type MembershipPing,
    type MembershipPingRequest,
    MemberState,
    ProcessRole,
} from "@redwingpin/protocol";
import {
    deadProbePeriod,
    indirectProbes,
    listEntriesPerSecond,
    listPeriod,
    probePeriod,
} from "../constants.js";
import { AgentAssignment, type AssignedAgents } from "./agentAssignment.js";
import { GossipQueue } from "./gossipQueue.js";
import { isLeaving, type Member, MemberTable } from "./memberTable.js";
import { RandomRoundRobin } from "./randomRoundRobin.js";

/** Kinds of events. */
export enum MembershipEventKind {
    Tick = "tick",
    Received = "received",
    Acknowledged = "acknowledged",
    Unanswered = "unanswered",
    AddressReused = "addressReused",
    ListRead = "listRead",
    Leave = "leave",
}

/** Input of the decision. */
export type MembershipEvent =
    | { readonly kind: MembershipEventKind.Tick; }
    /** A ping or a ping request was received. */
    | { readonly kind: MembershipEventKind.Received; readonly call: MembershipCall; }
    /** A member answered, directly or through another router. */
    | {
        readonly kind: MembershipEventKind.Acknowledged;
        readonly answer: MembershipAcknowledgement;
        readonly isDirect: boolean;
    }
    /** A ping was not answered. `isDirect` is false once other routers have pinged the member without success. */
    | {
        readonly kind: MembershipEventKind.Unanswered;
        readonly target: MemberEntry;
        readonly isDirect: boolean;
    }
    /** Another instance answered at the member's address. */
    | { readonly kind: MembershipEventKind.AddressReused; readonly target: MemberEntry; }
    | { readonly kind: MembershipEventKind.ListRead; readonly machines: readonly VirtualMachine[]; }
    | { readonly kind: MembershipEventKind.Leave; };

/** Kinds of effects. */
export enum MembershipEffectKind {
    Ping = "ping",
    AskOthers = "askOthers",
    ReadList = "readList",
    Changed = "changed",
}

/** An effect that the decision yields. */
export type MembershipEffect =
    | {
        readonly kind: MembershipEffectKind.Ping;
        readonly target: MemberEntry;
        readonly ping: MembershipPing;
    }
    | {
        readonly kind: MembershipEffectKind.AskOthers;
        readonly target: MemberEntry;
        readonly helpers: readonly MemberEntry[];
        readonly request: MembershipPingRequest;
    }
    | { readonly kind: MembershipEffectKind.ReadList; }
    /** The usable members have changed. */
    | { readonly kind: MembershipEffectKind.Changed; };

/** Effects in the order in which they are to be performed. */
export type MembershipEffects = Generator<MembershipEffect, void, void>;

const millisecondsPerSecond = 1_000;

/** The membership of one router. It uses no sockets and no clock. */
export class MembershipDecision {
    private readonly table: MemberTable;
    private readonly updates = new GossipQueue();
    private readonly assignment = new AgentAssignment();
    private readonly routerRotation: RandomRoundRobin;
    private readonly agentRotation: RandomRoundRobin;
    private readonly deadRotation: RandomRoundRobin;
    private nextProbeAt: Milliseconds = 0;
    private nextDeadProbeAt: Milliseconds = 0;
    private nextListReadAt: Milliseconds = 0;
    private emittedVersion = 0;
    private assigned: AssignedAgents = { owned: [], connected: [] };

    constructor(self: MemberEntry, private readonly random: RandomSource) {
        this.table = new MemberTable(self, (entry) => this.updates.add(entry));
        this.routerRotation = new RandomRoundRobin(random);
        this.agentRotation = new RandomRoundRobin(random);
        this.deadRotation = new RandomRoundRobin(random);
    }

    /** This process's own entry. */
    get own(): MemberEntry {
        return this.table.own;
    }

    /** Other live routers that are not leaving. Suspects are included, since a suspicion is often wrong. */
    routers(): MemberEntry[] {
        return this.usableEntries(ProcessRole.Router);
    }

    /** Agents that may receive new requests, including suspects. */
    agents(): MemberEntry[] {
        return this.usableEntries(ProcessRole.Agent);
    }

    /** Agents that are assigned to this router. */
    get assignedAgents(): AssignedAgents {
        return this.assigned;
    }

    /** Sets the port in this process's entry. */
    setPort(port: number): void {
        this.table.setPort(port);
    }

    /** All known members, including dead and leaving ones. */
    members(): readonly Member[] {
        return this.table.all();
    }

    member(instance: string): Member | undefined {
        return this.table.get(instance);
    }

    /** Handles one event. */
    *receive(event: MembershipEvent, now: Milliseconds): MembershipEffects {
        yield* this.handle(event, now);
        yield* this.emitChange();
    }

    /** Creates the answer to a ping. */
    acknowledge(): MembershipAcknowledgement {
        return { kind: MembershipMessageKind.Acknowledgement, member: this.own, news: this.takeUpdates() };
    }

    /** Creates a ping to a member. */
    pingTo(target: MemberEntry): MembershipPing {
        const known = this.table.get(target.instance)?.entry;
        const about = known?.state === MemberState.Alive ? undefined : known;
        return {
            kind: MembershipMessageKind.Ping,
            sender: this.own,
            ...about && { about },
            news: this.takeUpdates(),
        };
    }

    private *handle(event: MembershipEvent, now: Milliseconds): MembershipEffects {
        switch (event.kind) {
            case MembershipEventKind.Tick:
                return yield* this.tick(now);
            case MembershipEventKind.Received:
                return this.receiveCall(event.call, now);
            case MembershipEventKind.Acknowledged:
                return this.receiveAnswer(event.answer, event.isDirect, now);
            case MembershipEventKind.Unanswered:
                return yield* this.handleNoAnswer(event.target, event.isDirect, now);
            case MembershipEventKind.AddressReused:
                return this.table.recordAddressReuse(event.target.instance, now);
            case MembershipEventKind.ListRead:
                return this.table.applyList(event.machines, now);
            case MembershipEventKind.Leave:
                return this.table.leave();
            default:
                return assertNever(event);
        }
    }

    private *tick(now: Milliseconds): MembershipEffects {
        this.table.expire(now);
        if (now >= this.nextListReadAt) {
            this.nextListReadAt = now + this.listInterval();
            yield { kind: MembershipEffectKind.ReadList };
        }
        if (now >= this.nextProbeAt) {
            this.nextProbeAt = now + probePeriod;
            yield* this.ping(this.routerRotation.next(this.liveEntries(ProcessRole.Router)));
            yield* this.ping(this.agentRotation.next(this.agentsToPing()));
        }
        if (now >= this.nextDeadProbeAt) {
            this.nextDeadProbeAt = now + deadProbePeriod;
            const dead = this.table.all().filter((member) => member.diedAt !== undefined);
            yield* this.ping(this.deadRotation.next(dead.map((member) => member.entry)));
        }
    }

    /** Owned agents, and those missing from the VM list, which every router pings: their owner may not know them. */
    private agentsToPing(): MemberEntry[] {
        const unlisted = this.table.all().filter((member) =>
            !member.isListed && member.diedAt === undefined && member.entry.role === ProcessRole.Agent
        );
        const ownedNames = new Set(this.assigned.owned.map((entry) => entry.instance));
        const others = unlisted.map((member) => member.entry).filter((entry) =>
            !ownedNames.has(entry.instance)
        );
        return [...this.assigned.owned, ...others];
    }

    /** Grows with the length of the list, and varies randomly so that at any time some router reads it soon. */
    private listInterval(): Milliseconds {
        const entries = this.table.all().length;
        const interval = Math.max(listPeriod, entries * millisecondsPerSecond / listEntriesPerSecond);
        return interval * (1 + this.random.unit()) / 2;
    }

    private *ping(target: MemberEntry | undefined): MembershipEffects {
        if (target !== undefined) {
            yield { kind: MembershipEffectKind.Ping, target, ping: this.pingTo(target) };
        }
    }

    private receiveCall(call: MembershipCall, now: Milliseconds): void {
        this.table.recordContact(call.sender, now);
        if (call.kind === MembershipMessageKind.Ping && call.about !== undefined) {
            this.table.merge(call.about, now);
        }
        this.mergeAll(call.news, now);
    }

    private receiveAnswer(answer: MembershipAcknowledgement, isDirect: boolean, now: Milliseconds): void {
        if (isDirect) {
            this.table.recordContact(answer.member, now);
        }
        else {
            this.table.merge(answer.member, now);
        }
        this.mergeAll(answer.news, now);
    }

    private *handleNoAnswer(target: MemberEntry, isDirect: boolean, now: Milliseconds): MembershipEffects {
        const isDead = this.table.get(target.instance)?.diedAt !== undefined;
        const helpers = isDirect && !isDead ? this.helpersFor(target) : [];
        if (helpers.length === 0) {
            this.table.recordNoAnswer(target.instance, now);
            return;
        }
        const kind = MembershipMessageKind.PingRequest as const;
        const request = { kind, sender: this.own, target, news: this.takeUpdates() };
        yield { kind: MembershipEffectKind.AskOthers, target, helpers, request };
    }

    private helpersFor(target: MemberEntry): MemberEntry[] {
        const others = this.routers().filter((entry) =>
            entry.instance !== target.instance && entry.state === MemberState.Alive
        );
        const selected: MemberEntry[] = [];
        while (selected.length < indirectProbes && others.length > 0) {
            selected.push(...others.splice(this.random.integerBelow(others.length), 1));
        }
        return selected;
    }

    private mergeAll(entries: readonly MemberEntry[], now: Milliseconds): void {
        for (const entry of entries) {
            this.table.merge(entry, now);
        }
    }

    private takeUpdates(): MemberEntry[] {
        return this.updates.take(this.liveEntries(ProcessRole.Router).length);
    }

    private liveEntries(role: ProcessRole): MemberEntry[] {
        return this.liveMembers(role).map((member) => member.entry);
    }

    private usableEntries(role: ProcessRole): MemberEntry[] {
        return this.liveMembers(role).filter((member) => !isLeaving(member)).map((member) => member.entry);
    }

    private liveMembers(role: ProcessRole): Member[] {
        return this.table.all().filter((member) => member.diedAt === undefined && member.entry.role === role);
    }

    private *emitChange(): MembershipEffects {
        if (this.table.version === this.emittedVersion) {
            return;
        }
        this.emittedVersion = this.table.version;
        const agents = this.liveEntries(ProcessRole.Agent);
        this.assigned = this.assignment.assign(this.own, [this.own, ...this.routers()], agents);
        yield { kind: MembershipEffectKind.Changed };
    }
}

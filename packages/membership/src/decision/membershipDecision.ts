/**
 * The decisions of one router about who lives: in each period it pings one router and one agent that it looks after,
 * asks others to ping one that gives no answer, and spreads what it learns on these same messages.
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
import { ProbeOrder } from "./probeOrder.js";

/** Kinds of events. */
export enum MembershipEventKind {
    Tick = "tick",
    Received = "received",
    Acknowledged = "acknowledged",
    Unanswered = "unanswered",
    Displaced = "displaced",
    ListRead = "listRead",
    Leave = "leave",
}

/** What the decision is told. */
export type MembershipEvent =
    | { readonly kind: MembershipEventKind.Tick; }
    /** A ping or a ping request came in. */
    | { readonly kind: MembershipEventKind.Received; readonly call: MembershipCall; }
    /** A member answered, directly or through another. */
    | {
        readonly kind: MembershipEventKind.Acknowledged;
        readonly answer: MembershipAcknowledgement;
        readonly isDirect: boolean;
    }
    /** A ping of this process got no answer; `isDirect` until others were asked too. */
    | {
        readonly kind: MembershipEventKind.Unanswered;
        readonly target: MemberEntry;
        readonly isDirect: boolean;
    }
    /** A process of another name answered at the member's address. */
    | { readonly kind: MembershipEventKind.Displaced; readonly target: MemberEntry; }
    | { readonly kind: MembershipEventKind.ListRead; readonly machines: readonly VirtualMachine[]; }
    | { readonly kind: MembershipEventKind.Leave; };

/** Kinds of effects. */
export enum MembershipEffectKind {
    Ping = "ping",
    AskOthers = "askOthers",
    ReadList = "readList",
    Changed = "changed",
}

/** What the decision asks for. */
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
    /** Who may be used has changed. */
    | { readonly kind: MembershipEffectKind.Changed; };

/** Effects in order. */
export type MembershipEffects = Generator<MembershipEffect, void, void>;

const millisecondsPerSecond = 1_000;

/** The membership of one router; owns no socket and reads no clock. */
export class MembershipDecision {
    private readonly table: MemberTable;
    private readonly news = new GossipQueue();
    private readonly home = new AgentAssignment();
    private readonly routerOrder: ProbeOrder;
    private readonly agentOrder: ProbeOrder;
    private readonly deadOrder: ProbeOrder;
    private nextProbe: Milliseconds = 0;
    private nextDeadProbe: Milliseconds = 0;
    private nextList: Milliseconds = 0;
    private lastVersion = 0;
    private chosen: AssignedAgents = { home: [], kept: [] };

    constructor(self: MemberEntry, private readonly random: RandomSource) {
        this.table = new MemberTable(self, (entry) => this.news.add(entry));
        this.routerOrder = new ProbeOrder(random);
        this.agentOrder = new ProbeOrder(random);
        this.deadOrder = new ProbeOrder(random);
    }

    /** This process's own entry. */
    get own(): MemberEntry {
        return this.table.own;
    }

    /** Other routers that live, suspects included: a suspicion is often wrong. */
    routers(): MemberEntry[] {
        return this.staying(ProcessRole.Router);
    }

    /** Agents that may be given new work, suspects included. */
    agents(): MemberEntry[] {
        return this.staying(ProcessRole.Agent);
    }

    /** Agents that this router looks after. */
    get chosenAgents(): AssignedAgents {
        return this.chosen;
    }

    /** States the port on which this process listens. */
    listensOn(port: number): void {
        this.table.listensOn(port);
    }

    /** Everything that is known, for operators and tests. */
    members(): readonly Member[] {
        return this.table.all();
    }

    /** What is known of one member. */
    member(instance: string): Member | undefined {
        return this.table.get(instance);
    }

    /** Takes in one event. */
    *receive(event: MembershipEvent, now: Milliseconds): MembershipEffects {
        yield* this.handle(event, now);
        yield* this.showChange();
    }

    /** Answers a ping. */
    acknowledge(): MembershipAcknowledgement {
        return { kind: MembershipMessageKind.Acknowledgement, member: this.own, news: this.takeNews() };
    }

    /** A ping to a member. */
    pingTo(target: MemberEntry): MembershipPing {
        const known = this.table.get(target.instance)?.entry;
        const about = known?.state === MemberState.Alive ? undefined : known;
        return {
            kind: MembershipMessageKind.Ping,
            sender: this.own,
            ...about && { about },
            news: this.takeNews(),
        };
    }

    private *handle(event: MembershipEvent, now: Milliseconds): MembershipEffects {
        switch (event.kind) {
            case MembershipEventKind.Tick:
                return yield* this.tick(now);
            case MembershipEventKind.Received:
                return this.receiveCall(event.call, now);
            case MembershipEventKind.Acknowledged:
                return this.acknowledged(event.answer, event.isDirect, now);
            case MembershipEventKind.Unanswered:
                return yield* this.unanswered(event.target, event.isDirect, now);
            case MembershipEventKind.Displaced:
                return this.table.displaced(event.target.instance, now);
            case MembershipEventKind.ListRead:
                return this.table.readList(event.machines, now);
            case MembershipEventKind.Leave:
                return this.table.leave();
            default:
                return assertNever(event);
        }
    }

    private *tick(now: Milliseconds): MembershipEffects {
        this.table.expire(now);
        if (now >= this.nextList) {
            this.nextList = now + this.listInterval();
            yield { kind: MembershipEffectKind.ReadList };
        }
        if (now >= this.nextProbe) {
            this.nextProbe = now + probePeriod;
            yield* this.ping(this.routerOrder.next(this.present(ProcessRole.Router)));
            yield* this.ping(this.agentOrder.next(this.agentsToPing()));
        }
        if (now >= this.nextDeadProbe) {
            this.nextDeadProbe = now + deadProbePeriod;
            const dead = this.table.all().filter((member) => member.diedAt !== undefined);
            yield* this.ping(this.deadOrder.next(dead.map((member) => member.entry)));
        }
    }

    /** Agents that the list does not show are pinged by every router that knows them: the home may not know them. */
    private agentsToPing(): MemberEntry[] {
        const unlisted = this.table.all().filter((member) =>
            !member.isListed && member.diedAt === undefined && member.entry.role === ProcessRole.Agent
        );
        const names = new Set(this.chosen.home.map((entry) => entry.instance));
        const others = unlisted.map((member) => member.entry).filter((entry) => !names.has(entry.instance));
        return [...this.chosen.home, ...others];
    }

    /** Grows with the list, and differs between routers so that some router reads it soon. */
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
        this.table.answered(call.sender, now);
        if (call.kind === MembershipMessageKind.Ping && call.about !== undefined) {
            this.table.merge(call.about, now);
        }
        this.mergeAll(call.news, now);
    }

    private acknowledged(answer: MembershipAcknowledgement, isDirect: boolean, now: Milliseconds): void {
        if (isDirect) {
            this.table.answered(answer.member, now);
        }
        else {
            this.table.merge(answer.member, now);
        }
        this.mergeAll(answer.news, now);
    }

    private *unanswered(target: MemberEntry, isDirect: boolean, now: Milliseconds): MembershipEffects {
        const isDead = this.table.get(target.instance)?.diedAt !== undefined;
        const helpers = isDirect && !isDead ? this.helpersFor(target) : [];
        if (helpers.length === 0) {
            this.table.silent(target.instance, now);
            return;
        }
        const kind = MembershipMessageKind.PingRequest as const;
        const request = { kind, sender: this.own, target, news: this.takeNews() };
        yield { kind: MembershipEffectKind.AskOthers, target, helpers, request };
    }

    private helpersFor(target: MemberEntry): MemberEntry[] {
        const others = this.routers().filter((entry) =>
            entry.instance !== target.instance && entry.state === MemberState.Alive
        );
        const chosen: MemberEntry[] = [];
        while (chosen.length < indirectProbes && others.length > 0) {
            chosen.push(...others.splice(this.random.integerBelow(others.length), 1));
        }
        return chosen;
    }

    private mergeAll(entries: readonly MemberEntry[], now: Milliseconds): void {
        for (const entry of entries) {
            this.table.merge(entry, now);
        }
    }

    private takeNews(): MemberEntry[] {
        return this.news.take(this.present(ProcessRole.Router).length);
    }

    private present(role: ProcessRole): MemberEntry[] {
        return this.living(role).map((member) => member.entry);
    }

    private staying(role: ProcessRole): MemberEntry[] {
        return this.living(role).filter((member) => !isLeaving(member)).map((member) => member.entry);
    }

    private living(role: ProcessRole): Member[] {
        return this.table.all().filter((member) => member.diedAt === undefined && member.entry.role === role);
    }

    private *showChange(): MembershipEffects {
        if (this.table.version === this.lastVersion) {
            return;
        }
        this.lastVersion = this.table.version;
        const agents = this.present(ProcessRole.Agent);
        this.chosen = this.home.choose(this.own, [this.own, ...this.routers()], agents);
        yield { kind: MembershipEffectKind.Changed };
    }
}

/**
 * A router's membership task: it sends pings, reads the VM list and performs the effects of the decision.
 *
 * @module
 */
import {
    assertNever,
    type CancelTimer,
    type Clock,
    type Logger,
    type Milliseconds,
    type RandomSource,
} from "@redwingpin/common";
import { type VirtualMachine, type VirtualMachineList, VirtualMachineRole } from "@redwingpin/outside";
import {
    isMembershipAnswer,
    isMembershipCall,
    type MemberEntry,
    type MembershipAcknowledgement,
    type MembershipAnswer,
    type MembershipCall,
    MembershipMessageKind,
    MemberState,
    ProcessRole,
} from "@redwingpin/protocol";
import { directTimeout, indirectTimeout } from "../constants.js";
import {
    MembershipDecision,
    type MembershipEffect,
    MembershipEffectKind,
    type MembershipEvent,
    MembershipEventKind,
} from "../decision/membershipDecision.js";
import { isLeaving, type Member } from "../decision/memberTable.js";

const tickInterval: Milliseconds = 100;

/** The answer to a call, with the name of the instance that sent it. */
export interface PeerAnswer {
    readonly instance: string;
    readonly body: unknown;
}

/** Calls a member on the membership topic; resolves with `undefined` if no answer arrives in time. */
export type MembershipTransport = (
    target: MemberEntry,
    call: MembershipCall,
    timeout: Milliseconds,
) => Promise<PeerAnswer | undefined>;

/** Options of {@link createMembership}. */
export interface MembershipOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly instance: string;
    readonly dataCentre: string;
    /** Host of this process's inner listener. */
    readonly host: string;
    readonly list: VirtualMachineList;
    readonly transport: MembershipTransport;
    /**
     * Called with each VM list that was read, for callers that must know which VMs the platform itself has removed.
     * @default no callback
     */
    readonly onListRead?: (machines: readonly VirtualMachine[]) => void;
}

/** The members of the fleet as known to a router. */
export interface Membership {
    /** Other live routers that are not leaving. */
    routers(): readonly MemberEntry[];
    /** Agents that may receive new requests, of one pool or of all. */
    agents(pool?: string): readonly MemberEntry[];
    /** Agents that this router owns: it pings them and keeps their configuration up to date. */
    ownedAgents(): readonly MemberEntry[];
    /** Agents that this router keeps a connection to, including the owned ones. */
    connectedAgents(): readonly MemberEntry[];
    /** All members that are not dead, including leaving ones, as entries of a VM list. */
    machines(): readonly VirtualMachine[];
    /** The last known address of an instance. */
    find(instance: string): MemberEntry | undefined;
    /** All known members, including dead and leaving ones. */
    members(): readonly Member[];
    /** Calls `listener` when routers or agents have changed; returns a function that unsubscribes it. */
    onChange(listener: () => void): () => void;
    /** Answers a call on the membership topic; resolves with `undefined` if the body is malformed. */
    handle(body: unknown): Promise<MembershipAnswer | undefined>;
    /** Marks this process as leaving and notifies the other routers. */
    leave(): void;
    /** Starts to ping; `port` is the port of this process's inner listener. */
    start(port: number): void;
    stop(): void;
}

/** Creates a router's membership, which does nothing before `start`. */
export function createMembership(options: MembershipOptions): Membership {
    return new MembershipTask(options);
}

class MembershipTask implements Membership {
    private readonly decision: MembershipDecision;
    private readonly listeners = new Set<() => void>();
    private cancelTick: CancelTimer | undefined;
    private isRunning = false;

    constructor(private readonly options: MembershipOptions) {
        const { instance, dataCentre, host, clock, random } = options;
        this.decision = new MembershipDecision({
            instance,
            role: ProcessRole.Router,
            host,
            port: 0,
            dataCentre,
            epoch: Math.max(1, Math.round(clock.wallTime())),
            state: MemberState.Alive,
        }, random);
    }

    routers(): readonly MemberEntry[] {
        return this.decision.routers();
    }

    agents(pool?: string): readonly MemberEntry[] {
        const agents = this.decision.agents();
        return pool === undefined ? agents : agents.filter((agent) => agent.pool === pool);
    }

    ownedAgents(): readonly MemberEntry[] {
        return this.decision.assignedAgents.owned;
    }

    connectedAgents(): readonly MemberEntry[] {
        return this.decision.assignedAgents.connected;
    }

    machines(): readonly VirtualMachine[] {
        return this.decision.members()
            .filter((member) => member.diedAt === undefined)
            .map(machineOf);
    }

    find(instance: string): MemberEntry | undefined {
        return this.decision.member(instance)?.entry;
    }

    members(): readonly Member[] {
        return this.decision.members();
    }

    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    async handle(body: unknown): Promise<MembershipAnswer | undefined> {
        if (!isMembershipCall(body)) {
            return undefined;
        }
        this.dispatch({ kind: MembershipEventKind.Received, call: body });
        switch (body.kind) {
            case MembershipMessageKind.Ping:
                return this.decision.acknowledge();
            case MembershipMessageKind.PingRequest:
                return this.pingFor(body.target);
            default:
                return assertNever(body);
        }
    }

    leave(): void {
        this.dispatch({ kind: MembershipEventKind.Leave });
        const news = [this.decision.own];
        for (const router of this.decision.routers()) {
            void this.options.transport(router, { ...this.decision.pingTo(router), news }, directTimeout);
        }
    }

    start(port: number): void {
        this.decision.setPort(port);
        this.isRunning = true;
        this.tick();
    }

    stop(): void {
        this.isRunning = false;
        this.cancelTick?.();
    }

    private tick(): void {
        this.dispatch({ kind: MembershipEventKind.Tick });
        this.cancelTick = this.options.clock.schedule(tickInterval, () => this.tick());
    }

    private dispatch(event: MembershipEvent): void {
        if (!this.isRunning) {
            return;
        }
        // Effects only start work whose result arrives as a later event, so events are never dispatched recursively.
        for (const effect of this.decision.receive(event, this.options.clock.now())) {
            this.perform(effect);
        }
    }

    private perform(effect: MembershipEffect): void {
        switch (effect.kind) {
            case MembershipEffectKind.Ping:
                void this.ping(effect);
                return;
            case MembershipEffectKind.AskOthers:
                void this.askOthers(effect);
                return;
            case MembershipEffectKind.ReadList:
                void this.readList();
                return;
            case MembershipEffectKind.Changed:
                for (const listener of this.listeners) {
                    listener();
                }
                return;
            default:
                return assertNever(effect);
        }
    }

    private async ping(
        { target, ping }: Extract<MembershipEffect, { kind: MembershipEffectKind.Ping; }>,
    ): Promise<void> {
        this.dispatch(await this.outcomeOf(target, ping));
    }

    private async outcomeOf(target: MemberEntry, call: MembershipCall): Promise<MembershipEvent> {
        const answer = await this.options.transport(target, call, directTimeout);
        if (answer === undefined) {
            return { kind: MembershipEventKind.Unanswered, target, isDirect: true };
        }
        if (answer.instance !== target.instance) {
            return { kind: MembershipEventKind.AddressReused, target };
        }
        const { body } = answer;
        return isMembershipAnswer(body) && body.kind === MembershipMessageKind.Acknowledgement
            ? { kind: MembershipEventKind.Acknowledged, answer: body, isDirect: true }
            : { kind: MembershipEventKind.Acknowledged, answer: this.assumeAlive(target), isDirect: true };
    }

    /** An answer of unknown shape comes from a process of another version. It shows that the process is alive. */
    private assumeAlive(target: MemberEntry): MembershipAcknowledgement {
        const known = this.decision.member(target.instance)?.entry ?? target;
        const isSuspectOrDead = known.state === MemberState.Suspect || known.state === MemberState.Dead;
        const member = isSuspectOrDead
            ? { ...known, state: MemberState.Alive, epoch: known.epoch + 1 }
            : known;
        return { kind: MembershipMessageKind.Acknowledgement, member, news: [] };
    }

    private async askOthers(
        { target, helpers, request }: Extract<MembershipEffect, { kind: MembershipEffectKind.AskOthers; }>,
    ): Promise<void> {
        const answers = await Promise.all(
            helpers.map((helper) => this.options.transport(helper, request, indirectTimeout)),
        );
        for (const answer of answers) {
            const body = answer?.body;
            if (isMembershipAnswer(body) && body.kind === MembershipMessageKind.Acknowledgement) {
                this.dispatch({ kind: MembershipEventKind.Acknowledged, answer: body, isDirect: false });
                return;
            }
        }
        this.dispatch({ kind: MembershipEventKind.Unanswered, target, isDirect: false });
    }

    private async pingFor(target: MemberEntry): Promise<MembershipAnswer> {
        const outcome = await this.outcomeOf(target, this.decision.pingTo(target));
        return outcome.kind === MembershipEventKind.Acknowledged
            ? outcome.answer
            : { kind: MembershipMessageKind.NoAnswer };
    }

    private async readList(): Promise<void> {
        const machines = await this.options.list.read();
        machines.match(
            (list) => {
                this.dispatch({ kind: MembershipEventKind.ListRead, machines: list });
                this.options.onListRead?.(list);
            },
            (error) => this.options.logger.warn("failed to read the VM list", { error }),
        );
    }
}

function machineOf(member: Member): VirtualMachine {
    const { entry } = member;
    const { instance, host, port, dataCentre, pool } = entry;
    return {
        instance,
        role: entry.role === ProcessRole.Router ? VirtualMachineRole.Router : VirtualMachineRole.Agent,
        host,
        port,
        dataCentre,
        pool,
        leaving: isLeaving(member),
    };
}

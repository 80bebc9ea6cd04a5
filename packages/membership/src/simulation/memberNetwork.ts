/**
 * Simulates the memberships of routers, and agents that answer pings, on simulated time, with a network that can be
 * partitioned or lossy and a VM list that lags. Used for fuzzing and experiments. It contains no decisions of its own.
 *
 * @module
 */
import { assertNever, type Milliseconds, type RandomSource } from "@redwingpin/common";
import { type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import {
    type MemberEntry,
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
import { MembershipResponder } from "../node/membershipResponder.js";

const tickInterval: Milliseconds = 100;
const lossProbability = 0.3;
const simulatedHost = "10.0.0.1";

/** One process of the simulated network. */
export interface SimulatedMember {
    readonly instance: string;
    readonly role: ProcessRole.Router | ProcessRole.Agent;
    readonly port: number;
    /** Present for routers. */
    readonly decision: MembershipDecision | undefined;
    /** Present for agents. */
    readonly responder: MembershipResponder | undefined;
    isRunning: boolean;
    /** True while the process is paused: it handles messages only after it resumes. */
    isPaused: boolean;
    isLeaving: boolean;
}

/** Options of {@link MemberNetwork}. */
export interface MemberNetworkOptions {
    readonly random: RandomSource;
    /** Transit time of each message. */
    readonly latency: Milliseconds;
    /** Called for each message sent. */
    readonly onSend: (from: string, body: MembershipCall | MembershipAnswer) => void;
    /** Called for each read of the VM list. */
    readonly onListRead: (by: string, entries: number) => void;
}

/** A simulated network with its processes. */
export class MemberNetwork {
    now: Milliseconds = 1;
    isLossy = false;
    /** Content of the VM list. */
    list: readonly VirtualMachine[] = [];
    readonly members = new Map<string, SimulatedMember>();
    private readonly byPort = new Map<number, SimulatedMember>();
    private readonly partitionedLinks = new Set<string>();
    private readonly scheduled = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly options: MemberNetworkOptions) {}

    /** Starts a process; stops a running one with the same name or port. */
    start(
        instance: string,
        role: ProcessRole.Router | ProcessRole.Agent,
        port: number,
        dataCentre: string,
    ): void {
        this.stop(instance);
        const own = { instance, role, host: simulatedHost, port, dataCentre, epoch: this.now };
        const isRouter = role === ProcessRole.Router;
        const member: SimulatedMember = {
            instance,
            role,
            port,
            decision: isRouter
                ? new MembershipDecision({ ...own, state: MemberState.Alive }, this.options.random)
                : undefined,
            responder: isRouter ? undefined : new MembershipResponder(own),
            isRunning: true,
            isPaused: false,
            isLeaving: false,
        };
        this.stopAt(port);
        this.members.set(instance, member);
        this.byPort.set(port, member);
        if (isRouter) {
            this.schedule(this.options.random.integerBelow(tickInterval), () => this.tick(member));
        }
    }

    /** Stops a process immediately. */
    stop(instance: string): void {
        const member = this.members.get(instance);
        if (member !== undefined) {
            member.isRunning = false;
        }
    }

    /** Marks a process as leaving; a router notifies the other routers. */
    leave(instance: string): void {
        const member = this.members.get(instance)!;
        member.isLeaving = true;
        member.responder?.leave();
        if (member.decision !== undefined) {
            this.dispatch(member, { kind: MembershipEventKind.Leave });
            for (const router of member.decision.routers()) {
                this.call(member, router, member.decision.pingTo(router), directTimeout, () => {});
            }
        }
    }

    /** The VM list's entry for a running process. */
    listEntry(instance: string): VirtualMachine {
        const member = this.members.get(instance)!;
        return {
            instance,
            role: member.role === ProcessRole.Router ? VirtualMachineRole.Router : VirtualMachineRole.Agent,
            host: simulatedHost,
            port: member.port,
            dataCentre: "hobart",
            leaving: member.isLeaving,
        };
    }

    /** Drops messages between two processes in both directions. */
    partition(one: string, other: string): void {
        this.partitionedLinks.add(`${one} ${other}`).add(`${other} ${one}`);
    }

    /** Ends all partitions, losses and pauses. */
    heal(): void {
        this.partitionedLinks.clear();
        this.isLossy = false;
        for (const member of this.members.values()) {
            member.isPaused = false;
        }
    }

    /** Advances the simulated time and runs what becomes due. */
    advance(duration: Milliseconds): void {
        const end = this.now + duration;
        while (this.now < end) {
            for (
                let next = this.scheduled.get(this.now)?.shift();
                next;
                next = this.scheduled.get(this.now)?.shift()
            ) {
                next();
            }
            this.scheduled.delete(this.now);
            this.now++;
        }
    }

    private stopAt(port: number): void {
        const previous = this.byPort.get(port);
        if (previous !== undefined) {
            previous.isRunning = false;
        }
    }

    private schedule(delay: Milliseconds, callback: () => void): void {
        const time = this.now + Math.max(1, Math.round(delay));
        const callbacks = this.scheduled.get(time) ?? [];
        callbacks.push(callback);
        this.scheduled.set(time, callbacks);
    }

    private tick(member: SimulatedMember): void {
        if (!member.isRunning) {
            return;
        }
        this.schedule(tickInterval, () => this.tick(member));
        if (!member.isPaused) {
            this.dispatch(member, { kind: MembershipEventKind.Tick });
        }
    }

    private dispatch(member: SimulatedMember, event: MembershipEvent): void {
        if (!member.isRunning || member.decision === undefined) {
            return;
        }
        for (const effect of member.decision.receive(event, this.now)) {
            this.perform(member, effect);
        }
    }

    private perform(member: SimulatedMember, effect: MembershipEffect): void {
        switch (effect.kind) {
            case MembershipEffectKind.Ping:
                return this.ping(member, effect.target, effect.ping, (event) => this.dispatch(member, event));
            case MembershipEffectKind.AskOthers:
                return this.askOthers(member, effect);
            case MembershipEffectKind.ReadList:
                this.options.onListRead(member.instance, this.list.length);
                return this.schedule(this.options.latency, () => {
                    this.dispatch(member, { kind: MembershipEventKind.ListRead, machines: this.list });
                });
            case MembershipEffectKind.Changed:
                return;
            default:
                return assertNever(effect);
        }
    }

    private ping(
        from: SimulatedMember,
        target: MemberEntry,
        call: MembershipCall,
        onEvent: (event: MembershipEvent) => void,
    ): void {
        this.call(from, target, call, directTimeout, (answer) => {
            if (answer === undefined) {
                return onEvent({ kind: MembershipEventKind.Unanswered, target, isDirect: true });
            }
            if (answer.instance !== target.instance) {
                return onEvent({ kind: MembershipEventKind.AddressReused, target });
            }
            if (answer.body.kind === MembershipMessageKind.Acknowledgement) {
                onEvent({ kind: MembershipEventKind.Acknowledged, answer: answer.body, isDirect: true });
            }
        });
    }

    private askOthers(
        member: SimulatedMember,
        effect: Extract<MembershipEffect, { kind: MembershipEffectKind.AskOthers; }>,
    ): void {
        const { target, helpers, request } = effect;
        let open = helpers.length;
        let hasAnswer = false;
        for (const helper of helpers) {
            this.call(member, helper, request, indirectTimeout, (answer) => {
                open--;
                const body = answer?.body;
                if (body?.kind === MembershipMessageKind.Acknowledgement && !hasAnswer) {
                    hasAnswer = true;
                    this.dispatch(member, {
                        kind: MembershipEventKind.Acknowledged,
                        answer: body,
                        isDirect: false,
                    });
                }
                if (open === 0 && !hasAnswer) {
                    this.dispatch(member, { kind: MembershipEventKind.Unanswered, target, isDirect: false });
                }
            });
        }
    }

    /** Sends a call; `onAnswer` is called once, with `undefined` if the call timed out. */
    private call(
        from: SimulatedMember,
        target: MemberEntry,
        call: MembershipCall,
        timeout: Milliseconds,
        onAnswer: (answer: { instance: string; body: MembershipAnswer; } | undefined) => void,
    ): void {
        let isSettled = false;
        const settle = (answer: { instance: string; body: MembershipAnswer; } | undefined) => {
            if (!isSettled) {
                isSettled = true;
                onAnswer(answer);
            }
        };
        this.schedule(timeout, () => settle(undefined));
        this.options.onSend(from.instance, call);
        const receiver = this.byPort.get(target.port);
        if (receiver === undefined || !this.isDelivered(from.instance, receiver.instance)) {
            return;
        }
        this.schedule(this.options.latency, () => {
            this.deliver(receiver, call, (body) => {
                this.options.onSend(receiver.instance, body);
                if (this.isDelivered(receiver.instance, from.instance)) {
                    this.schedule(this.options.latency, () => settle({ instance: receiver.instance, body }));
                }
            });
        });
    }

    private deliver(
        receiver: SimulatedMember,
        call: MembershipCall,
        reply: (body: MembershipAnswer) => void,
    ): void {
        if (!receiver.isRunning) {
            return;
        }
        if (receiver.isPaused) {
            return this.schedule(tickInterval, () => this.deliver(receiver, call, reply));
        }
        if (receiver.decision === undefined) {
            const answer = receiver.responder?.handle(call);
            return answer === undefined ? undefined : reply(answer);
        }
        this.dispatch(receiver, { kind: MembershipEventKind.Received, call });
        if (call.kind === MembershipMessageKind.Ping) {
            return reply(receiver.decision.acknowledge());
        }
        this.ping(receiver, call.target, receiver.decision.pingTo(call.target), (event) => {
            const answer = event.kind === MembershipEventKind.Acknowledged
                ? event.answer
                : { kind: MembershipMessageKind.NoAnswer as const };
            reply(answer);
        });
    }

    private isDelivered(from: string, to: string): boolean {
        return !this.partitionedLinks.has(`${from} ${to}`)
            && !(this.isLossy && this.options.random.unit() < lossProbability);
    }
}

/**
 * A fleet of simulated routers that admit requests on a fake clock, for fuzzing and experiments. It makes the
 * faults, and records what was admitted and refused.
 *
 * @module
 */
import {
    FakeClock,
    type Milliseconds,
    type RandomSource,
    RefusalReason,
    silentLogger,
} from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { MemoryStore, SimulatedProcess, type StoreFault } from "@redwingpin/outside";
import { type RateMessage, RateMessageKind } from "@redwingpin/protocol";
import { errAsync } from "neverthrow";
import type { RouterMember } from "../decision/roster.js";
import { createAdmission } from "../node/admissionController.js";
import type { AdmissionController, RatePeers } from "../node/admissionOptions.js";
import { RosterCache } from "../node/rosterCache.js";
import { type AdmittedRequest, type LimitsInForce, overspentTokens } from "./rateLedger.js";
import { RateNetwork } from "./rateNetwork.js";

/** Options of {@link RateFleet}. */
export interface RateFleetOptions {
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
    readonly random: RandomSource;
    /**
     * Time that a message takes one way.
     * @default 1
     */
    readonly latency?: Milliseconds;
    /**
     * Longest time that passes before what has become due runs to its end.
     * @default 5
     */
    readonly step?: Milliseconds;
    /**
     * Into how many slots accounts are divided.
     * @default slotsPerAccount
     */
    readonly slots?: number;
    /**
     * False for routers that never ask each other for tokens.
     * @default true
     */
    readonly asksOthers?: boolean;
}

/** One request that was offered to a router. */
export interface OfferedRequest {
    readonly account: string;
    readonly at: Milliseconds;
    readonly router: number;
    /** Tokens reserved, and those spent in the end. */
    readonly tokens: number;
    readonly actual: number;
    /** Time for which the request runs once it is admitted. */
    readonly duration: Milliseconds;
    /** Absent while it waits, and for good where its router died. */
    outcome?: "admitted" | RefusalReason;
    /** Time at which the outcome was known. */
    decidedAt?: Milliseconds;
}

interface SimulatedRouter {
    readonly instance: string;
    readonly process: SimulatedProcess;
    readonly controller: AdmissionController;
    /** What is in force at the router. */
    readonly inForce: { accounts: readonly ClientAccount[]; };
    alive: boolean;
}

const startOfTime: Milliseconds = 1_000_000;
const storeLatency: Milliseconds = 4;
const listInterval: Milliseconds = 1_000;
const defaultStep: Milliseconds = 5;
const agentInstances = ["agent-0", "agent-1", "agent-2"];

/** The fleet. */
export class RateFleet {
    readonly clock = new FakeClock(startOfTime);
    readonly store = new MemoryStore(this.clock, storeLatency);
    readonly network: RateNetwork;
    readonly offered: OfferedRequest[] = [];
    private readonly routers: SimulatedRouter[] = [];
    private readonly admitted: AdmittedRequest[] = [];
    private readonly limits = new Map<string, LimitsInForce[]>();
    private accounts: readonly ClientAccount[];
    private readonly lists: { readonly from: Milliseconds; readonly machines: readonly RouterMember[]; }[] =
        [];
    private readonly listLags = new Map<number, Milliseconds>();
    /** Routers whose next start is on another VM. */
    private readonly removed = new Set<number>();
    private starts = 0;

    constructor(private readonly options: RateFleetOptions) {
        this.network = new RateNetwork(this.clock, options.random, options.latency ?? 1);
        this.accounts = options.accounts;
        const machines = Array.from({ length: options.routers }, (_, index) => memberOf(index));
        this.lists.push({ from: this.clock.now(), machines });
        machines.forEach((machine) => this.routers.push(this.startRouter(machine.instance)));
        agentInstances.forEach((instance) => this.startAgent(instance));
        this.readList();
        this.recordLimits();
    }

    /** Lets time pass. */
    async pass(duration: Milliseconds): Promise<void> {
        const step = this.options.step ?? defaultStep;
        for (let passed = 0; passed < duration; passed += step) {
            this.clock.advance(Math.min(step, duration - passed));
            await new Promise((resolve) => {
                setImmediate(resolve);
            });
        }
    }

    /** True where the router runs. */
    runs(router: number): boolean {
        return this.routers[router].alive && this.routers[router].process.runs;
    }

    /** True where the router's VM leaves or was taken away. */
    isLeaving(router: number): boolean {
        return this.removed.has(router);
    }

    /** Offers a request; after `duration` it settles with `actual` tokens. */
    offer(router: number, account: string, tokens: number, actual: number, duration: Milliseconds): void {
        const serving = this.routers[router];
        const found = serving.inForce.accounts.find((candidate) => candidate.name === account);
        if (!this.runs(router) || found === undefined) {
            return;
        }
        const offer: OfferedRequest = { account, at: this.clock.now(), router, tokens, actual, duration };
        this.offered.push(offer);
        void serving.controller.admit(found, tokens).then((result) => {
            offer.decidedAt = this.clock.now();
            offer.outcome = result.isOk() ? "admitted" : result.error.reason;
            if (result.isErr()) {
                return;
            }
            const admission: AdmittedRequest = { account, at: this.clock.now(), charge: tokens };
            this.admitted.push(admission);
            serving.process.clock.schedule(duration, () => {
                admission.charge = actual;
                result.value.settle(actual);
            });
        });
    }

    /** Kills a router; its VM stays. */
    kill(router: number): void {
        const killed = this.routers[router];
        killed.process.kill();
        killed.controller.stop();
        killed.alive = false;
        this.network.attach(killed.instance, undefined);
        this.recordLimits();
    }

    /** Starts a router's process again: on the same VM, or on another where its VM was taken away or leaves. */
    restart(router: number): void {
        const before = this.routers[router];
        if (before.alive) {
            this.kill(router);
        }
        const instance = this.removed.delete(router) ? `${before.instance}x` : before.instance;
        this.changeMachines((machine) =>
            machine.leaving && machine.instance === before.instance ? undefined : machine
        );
        if (instance !== before.instance) {
            this.changeMachines((machine) => machine, { instance, leaving: false });
        }
        this.routers[router] = this.startRouter(instance);
        this.recordLimits();
    }

    /** Takes a router's VM away for good; when the router starts again, it is on a VM with a new name. */
    remove(router: number): void {
        this.kill(router);
        this.removed.add(router);
        this.changeMachines((machine) =>
            machine.instance === this.routers[router].instance ? undefined : machine
        );
    }

    /** Shows a router's VM as leaving, and tells the router: it gives up its slots for good, and goes on to serve. */
    leave(router: number): void {
        const { process, controller, instance } = this.routers[router];
        this.removed.add(router);
        this.changeMachines((machine) =>
            machine.instance === instance ? { instance, leaving: true } : machine
        );
        const machines = this.currentList();
        process.run(() => {
            controller.membersChanged(machines);
            void controller.leave();
        });
    }

    /** Tells a router to leave whose VM stays. */
    stop(router: number): void {
        const { process, controller } = this.routers[router];
        process.run(() => void controller.leave());
    }

    /** Shows a router the VM list with a lag. */
    setListLag(router: number, lag: Milliseconds): void {
        this.listLags.set(router, lag);
    }

    freeze(router: number): void {
        this.routers[router].process.freeze();
    }

    thaw(router: number): void {
        this.routers[router].process.thaw();
    }

    setStoreFault(fault: StoreFault): void {
        this.store.fault = fault;
    }

    /** Cuts or heals the way from one router to another. */
    setCut(from: number, to: number, cut: boolean): void {
        this.network.setCut(this.routers[from].instance, this.routers[to].instance, cut);
    }

    /** Puts accounts in force: at one router, or at all that run and at those that start later. */
    install(accounts: readonly ClientAccount[], router?: number): void {
        this.accounts = accounts;
        for (const [index, one] of this.routers.entries()) {
            if (router === undefined || router === index) {
                one.process.run(() => {
                    one.inForce.accounts = accounts;
                    one.controller.accountsChanged();
                    this.recordLimits();
                });
            }
        }
        this.recordLimits();
    }

    /** Tokens by which each account exceeded its bound in its worst interval. */
    overspent(): ReadonlyMap<string, number> {
        const names = [...this.limits.keys()];
        return new Map(names.map((name) => {
            const admissions = this.admitted.filter((admission) => admission.account === name);
            return [name, overspentTokens(admissions, this.limits.get(name)!)];
        }));
    }

    /** Tokens admitted, as they count in the end. */
    admittedTokens(account: string): number {
        return this.admitted
            .filter((admission) => admission.account === account)
            .reduce((sum, admission) => sum + admission.charge, 0);
    }

    private startAgent(instance: string): void {
        const cache = new RosterCache();
        const process = new SimulatedProcess(this.clock);
        const nothing: RateMessage = { kind: RateMessageKind.Acknowledge };
        this.network.attach(instance, {
            process,
            handle: async (message) => cache.handle(message) ?? nothing,
        });
    }

    private startRouter(instance: string): SimulatedRouter {
        const process = new SimulatedProcess(this.clock);
        const inForce = { accounts: this.accounts };
        const controller = createAdmission({
            clock: process.clock,
            instance,
            incarnation: String(++this.starts),
            store: process.storeClient(this.store.client()),
            peers: this.peersOf(instance, process),
            accounts: () => inForce.accounts,
            logger: silentLogger,
            rosterAgents: () => agentInstances,
            slots: this.options.slots,
        });
        this.network.attach(instance, {
            process,
            handle: (message, from) => controller.handle(message, from),
        });
        controller.membersChanged(this.currentList());
        return { instance, process, controller, inForce, alive: true };
    }

    private peersOf(instance: string, process: SimulatedProcess): RatePeers {
        const peers = this.network.peersOf(instance, process);
        if (this.options.asksOthers ?? true) {
            return peers;
        }
        const refused = errAsync<RateMessage, string>("routers do not ask each other");
        return {
            send: (to, message) => message.kind === RateMessageKind.Ask ? refused : peers.send(to, message),
        };
    }

    private readList(): void {
        for (const [index, router] of this.routers.entries()) {
            const machines = this.listAt(this.clock.now() - (this.listLags.get(index) ?? 0));
            router.process.run(() => router.controller.membersChanged(machines));
        }
        this.clock.schedule(listInterval, () => this.readList());
    }

    private listAt(time: Milliseconds): readonly RouterMember[] {
        const shown = this.lists.filter((list) => list.from <= time);
        return (shown[shown.length - 1] ?? this.lists[0]).machines;
    }

    private currentList(): readonly RouterMember[] {
        return this.lists[this.lists.length - 1].machines;
    }

    private changeMachines(
        change: (machine: RouterMember) => RouterMember | undefined,
        added?: RouterMember,
    ): void {
        const kept = this.currentList().map(change).filter((machine) => machine !== undefined);
        this.lists.push({ from: this.clock.now(), machines: added === undefined ? kept : [...kept, added] });
    }

    private recordLimits(): void {
        const names = new Set([...this.limits.keys(), ...this.accounts.map((account) => account.name)]);
        for (const name of names) {
            const known = this.routers
                .filter((router) => router.alive)
                .flatMap((router) => router.inForce.accounts.filter((account) => account.name === name));
            const history = this.limits.get(name) ?? [];
            this.limits.set(name, history);
            history.push({
                from: this.clock.now(),
                tokensPerSecond: Math.max(0, ...known.map((account) => account.tokensPerSecond)),
                burstTokens: Math.max(0, ...known.map((account) => account.burstTokens)),
            });
        }
    }
}

function memberOf(index: number): RouterMember {
    return { instance: `router-${index}`, leaving: false };
}

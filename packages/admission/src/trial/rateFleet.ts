/**
 * A fleet of simulated routers that admit requests on a fake clock, for fuzzing and experiments. It injects faults
 * and records which requests were admitted and refused.
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
import { type AdmittedRequest, type LimitsInForce, overspentTokens } from "./overspentTokens.js";
import { RateNetwork } from "./rateNetwork.js";

/** Options of {@link RateFleet}. */
export interface RateFleetOptions {
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
    readonly random: RandomSource;
    /**
     * One-way latency of a message.
     * @default 1
     */
    readonly latency?: Milliseconds;
    /**
     * Maximum time by which the clock advances before the tasks that became due run.
     * @default 5
     */
    readonly step?: Milliseconds;
    /**
     * Number of slots of each account.
     * @default slotsPerAccount
     */
    readonly slots?: number;
    /**
     * False for routers that never request tokens from each other.
     * @default true
     */
    readonly requestsFromOthers?: boolean;
}

/** A request that was offered to a router. */
export interface OfferedRequest {
    readonly account: string;
    readonly at: Milliseconds;
    readonly router: number;
    /** Tokens reserved. */
    readonly tokens: number;
    /** Tokens spent in the end. */
    readonly actual: number;
    /** Time for which the request runs once it is admitted. */
    readonly duration: Milliseconds;
    /** Absent while the request waits, and for good if its router was killed. */
    outcome?: "admitted" | RefusalReason;
    /** Time at which the outcome was known. */
    decidedAt?: Milliseconds;
}

interface SimulatedRouter {
    readonly instance: string;
    readonly process: SimulatedProcess;
    readonly controller: AdmissionController;
    /** Accounts in force at the router. */
    readonly inForce: { accounts: readonly ClientAccount[]; };
    alive: boolean;
}

const startTime: Milliseconds = 1_000_000;
const storeLatency: Milliseconds = 4;
const listInterval: Milliseconds = 1_000;
const defaultStep: Milliseconds = 5;
const agentInstances = ["agent-0", "agent-1", "agent-2"];

/** A simulated fleet. */
export class RateFleet {
    readonly clock = new FakeClock(startTime);
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
    /** Indices of routers whose next start is on another VM. */
    private readonly removed = new Set<number>();
    private starts = 0;

    constructor(private readonly options: RateFleetOptions) {
        this.network = new RateNetwork(this.clock, options.random, options.latency ?? 1);
        this.accounts = options.accounts;
        const machines = Array.from({ length: options.routers }, (_, index) => memberOf(index));
        this.lists.push({ from: this.clock.now(), machines });
        machines.forEach((machine) => this.routers.push(this.startRouter(machine.instance)));
        agentInstances.forEach((instance) => this.startAgent(instance));
        this.deliverList();
        this.recordLimits();
    }

    /** Advances the clock, step by step. */
    async advance(duration: Milliseconds): Promise<void> {
        const step = this.options.step ?? defaultStep;
        for (let passed = 0; passed < duration; passed += step) {
            this.clock.advance(Math.min(step, duration - passed));
            await new Promise((resolve) => {
                setImmediate(resolve);
            });
        }
    }

    /** True if the router is running. */
    isRunning(router: number): boolean {
        return this.routers[router].alive && this.routers[router].process.isRunning;
    }

    /** True if the router's VM is leaving or has been removed. */
    isLeaving(router: number): boolean {
        return this.removed.has(router);
    }

    /** Offers a request; if it is admitted, it settles with `actual` tokens after `duration`. */
    offer(router: number, account: string, tokens: number, actual: number, duration: Milliseconds): void {
        const target = this.routers[router];
        const clientAccount = target.inForce.accounts.find((candidate) => candidate.name === account);
        if (!this.isRunning(router) || clientAccount === undefined) {
            return;
        }
        const offer: OfferedRequest = { account, at: this.clock.now(), router, tokens, actual, duration };
        this.offered.push(offer);
        void target.controller.admit(clientAccount, tokens).then((result) => {
            offer.decidedAt = this.clock.now();
            offer.outcome = result.isOk() ? "admitted" : result.error.reason;
            if (result.isErr()) {
                return;
            }
            const admission: AdmittedRequest = { account, at: this.clock.now(), charge: tokens };
            this.admitted.push(admission);
            target.process.clock.schedule(duration, () => {
                admission.charge = actual;
                result.value.settle(actual);
            });
        });
    }

    /** Kills a router's process; its VM stays. */
    kill(router: number): void {
        const killed = this.routers[router];
        killed.process.kill();
        killed.controller.stop();
        killed.alive = false;
        this.network.attach(killed.instance, undefined);
        this.recordLimits();
    }

    /** Restarts a router's process: on the same VM, or on another if its VM was removed or is leaving. */
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

    /** Removes a router's VM for good; when the router starts again, it is on a VM with a new name. */
    remove(router: number): void {
        this.kill(router);
        this.removed.add(router);
        this.changeMachines((machine) =>
            machine.instance === this.routers[router].instance ? undefined : machine
        );
    }

    /** Lists a router's VM as leaving and notifies the router: it releases its slots for good and continues to serve. */
    leave(router: number): void {
        const { process, controller, instance } = this.routers[router];
        this.removed.add(router);
        this.changeMachines((machine) =>
            machine.instance === instance ? { instance, leaving: true } : machine
        );
        const machines = this.currentList();
        process.run(() => {
            controller.updateMembers(machines);
            void controller.leave();
        });
    }

    /** Asks a router to leave although its VM stays; the router must keep its slots. */
    stop(router: number): void {
        const { process, controller } = this.routers[router];
        process.run(() => void controller.leave());
    }

    /** Delays the VM list that a router reads. */
    setListLag(router: number, lag: Milliseconds): void {
        this.listLags.set(router, lag);
    }

    pause(router: number): void {
        this.routers[router].process.pause();
    }

    resume(router: number): void {
        this.routers[router].process.resume();
    }

    setStoreFault(fault: StoreFault): void {
        this.store.fault = fault;
    }

    /** Blocks or unblocks messages from one router to another. */
    setPartitioned(from: number, to: number, isPartitioned: boolean): void {
        this.network.setPartitioned(this.routers[from].instance, this.routers[to].instance, isPartitioned);
    }

    /** Applies accounts: at one router, or at all, including those that start later. */
    applyAccounts(accounts: readonly ClientAccount[], router?: number): void {
        this.accounts = accounts;
        for (const [index, simulated] of this.routers.entries()) {
            if (router === undefined || router === index) {
                simulated.process.run(() => {
                    simulated.inForce.accounts = accounts;
                    simulated.controller.accountsChanged();
                    this.recordLimits();
                });
            }
        }
        this.recordLimits();
    }

    /** Tokens by which each account exceeded its bound in its worst interval, by account name. */
    overspent(): ReadonlyMap<string, number> {
        const names = [...this.limits.keys()];
        return new Map(names.map((name) => {
            const admissions = this.admitted.filter((admission) => admission.account === name);
            return [name, overspentTokens(admissions, this.limits.get(name)!)];
        }));
    }

    /** Tokens admitted; requests that have settled count with the tokens that they spent. */
    admittedTokens(account: string): number {
        return this.admitted
            .filter((admission) => admission.account === account)
            .reduce((sum, admission) => sum + admission.charge, 0);
    }

    private startAgent(instance: string): void {
        const cache = new RosterCache();
        const process = new SimulatedProcess(this.clock);
        const noAnswer: RateMessage = { kind: RateMessageKind.Acknowledge };
        this.network.attach(instance, {
            process,
            handle: async (message) => cache.handle(message) ?? noAnswer,
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
        controller.updateMembers(this.currentList());
        return { instance, process, controller, inForce, alive: true };
    }

    private peersOf(instance: string, process: SimulatedProcess): RatePeers {
        const peers = this.network.peersOf(instance, process);
        if (this.options.requestsFromOthers ?? true) {
            return peers;
        }
        const refused = errAsync<RateMessage, string>("token requests between routers are disabled");
        return {
            send: (to, message) => message.kind === RateMessageKind.Ask ? refused : peers.send(to, message),
        };
    }

    private deliverList(): void {
        for (const [index, router] of this.routers.entries()) {
            const machines = this.listAt(this.clock.now() - (this.listLags.get(index) ?? 0));
            router.process.run(() => router.controller.updateMembers(machines));
        }
        this.clock.schedule(listInterval, () => this.deliverList());
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

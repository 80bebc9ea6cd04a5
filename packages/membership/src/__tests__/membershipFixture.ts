import { FakeClock, seededRandom, silentLogger } from "@redwingpin/common";
import { type VirtualMachine, type VirtualMachineList, VirtualMachineRole } from "@redwingpin/outside";
import { type MemberEntry, type MembershipCall, ProcessRole } from "@redwingpin/protocol";
import { okAsync } from "neverthrow";
import { MembershipResponder } from "../node/membershipResponder.js";
import { createMembership, type Membership, type PeerAnswer } from "../node/membershipTask.js";

const answerDelay = 5;
const step = 50;

/** An entry of the VM list; its port is derived from its name. */
export function machineFixture(
    instance: string,
    role: VirtualMachineRole,
    change: Partial<VirtualMachine> = {},
): VirtualMachine {
    return {
        instance,
        role,
        host: "10.0.0.1",
        port: portOf(instance),
        dataCentre: "hobart",
        leaving: false,
        pool: role === VirtualMachineRole.Agent ? "engines" : undefined,
        ...change,
    };
}

function portOf(instance: string): number {
    return 1000 + [...instance].reduce((sum, letter) => sum * 31 % 9000 + letter.charCodeAt(0), 7);
}

type CallHandler = (call: MembershipCall) => Promise<unknown>;

/** Routers and agents on a simulated network and clock. */
export class MembershipFixture {
    readonly clock = new FakeClock(1_000_000);
    machines: readonly VirtualMachine[] = [];
    /** Instances that neither send nor answer. */
    readonly unresponsive = new Set<string>();
    /** Pairs of instances that cannot reach each other, as `one other`. */
    readonly partitions = new Set<string>();
    private readonly listeners = new Map<number, { instance: string; answer: CallHandler; }>();
    private readonly random = seededRandom(3);

    addRouter(instance: string): Membership {
        const list: VirtualMachineList = { read: () => okAsync(this.machines) };
        const membership = createMembership({
            clock: this.clock,
            random: this.random,
            logger: silentLogger,
            instance,
            dataCentre: "hobart",
            host: "10.0.0.1",
            list,
            transport: (target, call, timeout) => this.call(instance, target, call, timeout),
        });
        this.listeners.set(portOf(instance), { instance, answer: (call) => membership.handle(call) });
        membership.start(portOf(instance));
        return membership;
    }

    addAgent(instance: string, port = portOf(instance)): MembershipResponder {
        const responder = new MembershipResponder({
            instance,
            role: ProcessRole.Agent,
            host: "10.0.0.1",
            port,
            dataCentre: "hobart",
            pool: "engines",
            epoch: this.clock.wallTime(),
        });
        this.listeners.set(port, { instance, answer: async (call) => responder.handle(call) });
        return responder;
    }

    /** Advances the clock in steps, between which answers are delivered. */
    async advance(duration: number): Promise<void> {
        for (let elapsed = 0; elapsed < duration; elapsed += step) {
            this.clock.advance(step);
            await new Promise((resolve) => setImmediate(resolve));
        }
    }

    private call(
        from: string,
        target: MemberEntry,
        call: MembershipCall,
        timeout: number,
    ): Promise<PeerAnswer | undefined> {
        return new Promise((resolve) => {
            this.clock.schedule(timeout, () => resolve(undefined));
            const listener = this.listeners.get(target.port);
            if (listener === undefined || this.isPartitioned(from, listener.instance)) {
                return;
            }
            this.clock.schedule(answerDelay, () => {
                const copy = JSON.parse(JSON.stringify(call)) as MembershipCall;
                void listener.answer(copy).then((body) => {
                    this.clock.schedule(answerDelay, () => resolve({ instance: listener.instance, body }));
                });
            });
        });
    }

    private isPartitioned(from: string, to: string): boolean {
        return this.unresponsive.has(from) || this.unresponsive.has(to)
            || this.partitions.has(`${from} ${to}`)
            || this.partitions.has(`${to} ${from}`);
    }
}

/** Instance names in alphabetical order. */
export function namesOf(entries: readonly MemberEntry[]): string[] {
    return entries.map((entry) => entry.instance).sort();
}

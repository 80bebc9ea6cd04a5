/**
 * Fuzzes membership: processes end, restart, freeze and leave, addresses are reused, the network is cut and lossy and
 * the VM list lags. The oracle knows which processes run.
 *
 * @module
 */
import { assertNever, seededRandom } from "@redwingpin/common";
import {
    directTimeout,
    indirectTimeout,
    MemberNetwork,
    probePeriod,
    type SimulatedMember,
    suspicionTime,
} from "@redwingpin/membership";
import { type MemberEntry, ProcessRole } from "@redwingpin/protocol";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";

const routerNames = ["r0", "r1", "r2", "r3"] as const;
const agentNames = ["a0", "a1", "a2"] as const;
const latency = 2;
const firstPort = 1_000;
const maximumSteps = 20;
const maximumPass = 4_000;

/** Bound within which a leaving process gets no new work, from the project's target. */
const leavingBound = 3_000;

/** Time to find a dead member: a round of pings, the direct and indirect time-outs, suspicion, and the news of it. */
const detectionTime = 4 * probePeriod + directTimeout + indirectTimeout + suspicionTime + 2 * probePeriod;

/** Bound within which the dead are known: an agent's own router may be dead too and must be found so first. */
const deathBound = 2 * detectionTime;

/** The site with its oracle. */
class MembershipSite {
    readonly network: MemberNetwork;
    private readonly violations: string[] = [];
    private replacements = 0;

    constructor(seed: number) {
        this.network = new MemberNetwork({
            random: seededRandom(seed),
            latency,
            onSend: () => {},
            onListRead: () => {},
        });
        [...routerNames, ...agentNames].forEach((name) => this.start(name));
        this.showList();
        this.network.advance(leavingBound);
    }

    start(instance: string): void {
        const names: readonly string[] = [...routerNames, ...agentNames];
        const role = instance.startsWith("r") ? ProcessRole.Router : ProcessRole.Agent;
        this.network.start(instance, role, firstPort + names.indexOf(instance), "hobart");
    }

    /** Another agent starts at the address of one that ends. */
    reuseAddress(agent: string): void {
        const { port } = this.network.members.get(agent)!;
        this.network.start(`b${this.replacements++}`, ProcessRole.Agent, port, "hobart");
    }

    /** The VM list catches up. */
    showList(): void {
        this.network.list = this.running().map((member) => this.network.listEntry(member.instance));
    }

    /** Checks that what leaves, and is shown so, gets no new work in time. */
    checkLeaving(): void {
        this.network.heal();
        this.showList();
        this.network.advance(leavingBound);
        const leaving = new Set(this.running().filter((member) => member.isLeaving).map(nameOf));
        for (const router of this.runningRouters()) {
            for (const entry of this.usableAt(router).filter((usable) => leaving.has(usable.instance))) {
                this.violations.push(
                    `${this.network.now} ms: ${router.instance} uses leaving ${entry.instance}`,
                );
            }
        }
    }

    /** Lets everything heal and returns every disagreement with the oracle. */
    finish(): readonly string[] {
        this.network.heal();
        this.showList();
        this.network.advance(deathBound);
        const expected = this.running().filter((member) => !member.isLeaving).map(nameOf);
        for (const router of this.runningRouters()) {
            const others = expected.filter((name) => name !== router.instance).sort().join(" ");
            const seen = this.usableAt(router).map(nameOf).sort().join(" ");
            if (seen !== others) {
                this.violations.push(`${router.instance} uses "${seen}", not "${others}"`);
            }
        }
        this.checkHomes();
        return this.violations;
    }

    private checkHomes(): void {
        const routers = this.runningRouters().filter((router) => !router.isLeaving);
        const homes = routers.flatMap((router) => router.decision!.assignedAgents.owned.map(nameOf));
        const agents = this.running().filter((member) => member.role === ProcessRole.Agent).map(nameOf);
        const isOnce = agents.every((agent) => homes.filter((home) => home === agent).length === 1);
        if (routers.length > 0 && !isOnce) {
            this.violations.push(`agents "${agents.join(" ")}" have homes "${homes.join(" ")}"`);
        }
    }

    private running(): SimulatedMember[] {
        return [...this.network.members.values()].filter((member) => member.isRunning);
    }

    private runningRouters(): SimulatedMember[] {
        return this.running().filter((member) => member.decision !== undefined);
    }

    private usableAt(router: SimulatedMember): MemberEntry[] {
        return [...router.decision!.routers(), ...router.decision!.agents()];
    }
}

function nameOf(member: { readonly instance: string; }): string {
    return member.instance;
}

type Step =
    | { readonly kind: "stop" | "start" | "leave" | "freeze"; readonly node: string; }
    | { readonly kind: "reuseAddress"; readonly agent: string; }
    | { readonly kind: "cut"; readonly one: string; readonly other: string; }
    | { readonly kind: "lose" | "heal" | "showList" | "checkLeaving"; }
    | { readonly kind: "pass"; readonly duration: number; };

const node = fc.constantFrom(...routerNames, ...agentNames);

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constantFrom("stop" as const, "start" as const, "leave" as const, "freeze" as const),
            node,
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("reuseAddress" as const),
            agent: fc.constantFrom(...agentNames),
        }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("cut" as const), one: node, other: node }) },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "lose" as const,
                "heal" as const,
                "showList" as const,
                "checkLeaving" as const,
            ),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("pass" as const),
            duration: fc.integer({ min: 1, max: maximumPass }),
        }),
    },
);

function perform(site: MembershipSite, next: Step): void {
    const { network } = site;
    switch (next.kind) {
        case "stop":
            return network.stop(next.node);
        case "start":
            return site.start(next.node);
        case "leave":
            return network.leave(next.node);
        case "freeze":
            network.members.get(next.node)!.isPaused = true;
            return;
        case "reuseAddress":
            return site.reuseAddress(next.agent);
        case "cut":
            return network.partition(next.one, next.other);
        case "lose":
            network.isLossy = true;
            return;
        case "heal":
            return network.heal();
        case "showList":
            return site.showList();
        case "checkLeaving":
            return site.checkLeaving();
        case "pass":
            return network.advance(next.duration);
        default:
            return assertNever(next);
    }
}

/** The fuzz of membership. */
export const membershipTarget: FuzzTarget = {
    name: "membership",
    boundedRuns: 60,
    property: () =>
        fc.property(
            fc.integer({ min: 0, max: 1_000_000 }),
            fc.array(step, { maxLength: maximumSteps }),
            (seed, steps) => {
                const site = new MembershipSite(seed);
                for (const next of steps) {
                    perform(site, next);
                }
                const violations = site.finish();
                if (violations.length > 0) {
                    throw new Error(violations.join("\n"));
                }
            },
        ),
};

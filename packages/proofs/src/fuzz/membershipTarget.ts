/**
 * Fuzzes membership: processes stop, restart, are paused and leave, addresses are reused, the network is partitioned
 * and loses messages, and the VM list lags. The oracle knows which processes run.
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
const networkLatencyMilliseconds = 2;
const firstPort = 1_000;
const maximumSteps = 20;
const maximumAdvanceMilliseconds = 4_000;

/** Time after which a leaving process must get no new work (target of the project). */
const leavingBoundMilliseconds = 3_000;

/** Time to detect a failed member: a round of pings, direct and indirect time-outs, suspicion and gossip. */
const detectionMilliseconds = 4 * probePeriod + directTimeout + indirectTimeout + suspicionTime
    + 2 * probePeriod;

/** Time within which failures are known: an agent's owner may have failed too and must be detected first. */
const failureBoundMilliseconds = 2 * detectionMilliseconds;

/** The simulated site with its oracle. */
class MembershipSite {
    readonly network: MemberNetwork;
    private readonly violations: string[] = [];
    private replacementCount = 0;

    constructor(seed: number) {
        this.network = new MemberNetwork({
            random: seededRandom(seed),
            latency: networkLatencyMilliseconds,
            onSend: () => {},
            onListRead: () => {},
        });
        [...routerNames, ...agentNames].forEach((name) => this.start(name));
        this.updateList();
        this.network.advance(leavingBoundMilliseconds);
    }

    start(instance: string): void {
        const names: readonly string[] = [...routerNames, ...agentNames];
        const role = instance.startsWith("r") ? ProcessRole.Router : ProcessRole.Agent;
        this.network.start(instance, role, firstPort + names.indexOf(instance), "hobart");
    }

    /** Starts another agent at the address of an agent of the site, whether or not that agent still runs. */
    reuseAddress(agent: string): void {
        const { port } = this.network.members.get(agent)!;
        this.network.start(`b${this.replacementCount++}`, ProcessRole.Agent, port, "hobart");
    }

    /** Updates the VM list to the processes that run now. */
    updateList(): void {
        this.network.list = this.running().map((member) => this.network.listEntry(member.instance));
    }

    /** Checks that members which the VM list shows as leaving are no longer used after the bound. */
    checkLeaving(): void {
        this.network.heal();
        this.updateList();
        this.network.advance(leavingBoundMilliseconds);
        const leaving = new Set(this.running().filter((member) => member.isLeaving).map(nameOf));
        for (const router of this.runningRouters()) {
            for (const entry of this.usableAt(router).filter((usable) => leaving.has(usable.instance))) {
                this.violations.push(
                    `${this.network.now} ms: ${router.instance} still uses ${entry.instance}, which is leaving`,
                );
            }
        }
    }

    /** Repairs every fault and returns every disagreement with the oracle. */
    finish(): readonly string[] {
        this.network.heal();
        this.updateList();
        this.network.advance(failureBoundMilliseconds);
        const expected = this.running().filter((member) => !member.isLeaving).map(nameOf);
        for (const router of this.runningRouters()) {
            const others = expected.filter((name) => name !== router.instance).sort().join(" ");
            const used = this.usableAt(router).map(nameOf).sort().join(" ");
            if (used !== others) {
                this.violations.push(`${router.instance} uses "${used}", expected "${others}"`);
            }
        }
        this.checkOwners();
        return this.violations;
    }

    private checkOwners(): void {
        const routers = this.runningRouters().filter((router) => !router.isLeaving);
        const ownedAgents = routers.flatMap((router) => router.decision!.assignedAgents.owned.map(nameOf));
        const agents = this.running().filter((member) => member.role === ProcessRole.Agent).map(nameOf);
        const isOwnedOnce = agents.every((agent) =>
            ownedAgents.filter((owned) => owned === agent).length === 1
        );
        if (routers.length > 0 && !isOwnedOnce) {
            this.violations.push(
                `agents "${agents.join(" ")}" must have one owner each; owned are "${ownedAgents.join(" ")}"`,
            );
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
    | { readonly kind: "stop" | "start" | "leave" | "pause"; readonly node: string; }
    | { readonly kind: "reuseAddress"; readonly agent: string; }
    | { readonly kind: "partition"; readonly one: string; readonly other: string; }
    | { readonly kind: "loseMessages" | "heal" | "updateList" | "checkLeaving"; }
    | { readonly kind: "advance"; readonly duration: number; };

const node = fc.constantFrom(...routerNames, ...agentNames);

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constantFrom("stop" as const, "start" as const, "leave" as const, "pause" as const),
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
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("partition" as const), one: node, other: node }) },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "loseMessages" as const,
                "heal" as const,
                "updateList" as const,
                "checkLeaving" as const,
            ),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            duration: fc.integer({ min: 1, max: maximumAdvanceMilliseconds }),
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
        case "pause":
            network.members.get(next.node)!.isPaused = true;
            return;
        case "reuseAddress":
            return site.reuseAddress(next.agent);
        case "partition":
            return network.partition(next.one, next.other);
        case "loseMessages":
            network.isLossy = true;
            return;
        case "heal":
            return network.heal();
        case "updateList":
            return site.updateList();
        case "checkLeaving":
            return site.checkLeaving();
        case "advance":
            return network.advance(next.duration);
        default:
            return assertNever(next);
    }
}

/** Fuzzes membership. */
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

import { type Milliseconds, type RandomSource, seededRandom } from "@redwingpin/common";
import type { DesiredWeights, ReplicaProgress, ServiceProgress } from "@redwingpin/fleet";
import { expect } from "chai";
import { maxConcurrentLoads, rolloutStep, TurnProgress } from "../index.js";

const seeds = 60;
const step: Milliseconds = 50;
/** Time after which the users' bound holds: one and a half times the 12 s in which weights should be in use. */
const bound: Milliseconds = 18_000;
const allowed: Milliseconds = 9_500;
const fallbackAfter: Milliseconds = 4_800;

/** How a replica and its agent take part in a rollout. */
enum Member {
    Sound = "sound",
    /** Loads slowly, since long requests have to end first. */
    Slow = "slow",
    /** Has no agent, or one that never reaches a router. */
    Absent = "absent",
    /** Its replica refuses every order: it is reported as loading for a moment at each one. */
    Refusing = "refusing",
    /** Begins to load and never ends. */
    LoadsForEver = "loadsForEver",
    /** Its agent begins to work only later. */
    Returning = "returning",
    /** Its agent receives no reports of the others. */
    CutOff = "cutOff",
}

const troubled = Object.values(Member).filter((member) => member !== Member.Sound);
const neverLoad: ReadonlySet<Member> = new Set([Member.Absent, Member.Refusing, Member.LoadsForEver]);

interface SimulatedReplica {
    readonly address: string;
    readonly member: Member;
    readonly activeFrom: Milliseconds;
    readonly loadTime: Milliseconds;
    /** Age of the reports that its agent has. */
    readonly reportAge: Milliseconds;
    readonly progress: TurnProgress;
    version: number;
    loadsUntil: Milliseconds | undefined;
    nextOrderAt: Milliseconds;
}

function replicaFixture(random: RandomSource, index: number, member: Member): SimulatedReplica {
    return {
        address: `10.0.0.${index}:80`,
        member,
        activeFrom: member === Member.Returning ? random.unit() * 8_000 : 0,
        loadTime: member === Member.Slow ? 2_000 + random.unit() * 2_000 : 1_200 + random.unit() * 300,
        reportAge: 100 + random.unit() * 400,
        progress: new TurnProgress(),
        version: 1,
        loadsUntil: undefined,
        nextOrderAt: 0,
    };
}

const desired: DesiredWeights = {
    model: "drafting",
    version: 2,
    revision: 9,
    desiredSince: 0,
    previous: [],
};

/** A rollout to `replicas`; returns the largest number that loaded at the same time in their turns. */
function simulate(replicas: readonly SimulatedReplica[], spare: number): number {
    const history: { readonly at: Milliseconds; readonly service: ServiceProgress; }[] = [];
    let mostLoading = 0;
    for (let now = 0; now <= bound; now += step) {
        finishLoads(replicas, now);
        history.push({
            at: now,
            service: { replicas: replicas.map((replica) => progressOf(replica)), spare },
        });
        for (const replica of replicas) {
            const known = history.findLast(({ at }) => at <= now - replica.reportAge);
            if (known !== undefined) {
                act(replica, known.service, now);
            }
        }
        const inTurn = replicas.filter(({ loadsUntil, member }) =>
            loadsUntil !== undefined && (member === Member.Sound || member === Member.Slow)
        );
        mostLoading = Math.max(mostLoading, inTurn.length);
    }
    return mostLoading;
}

function finishLoads(replicas: readonly SimulatedReplica[], now: Milliseconds): void {
    for (const replica of replicas) {
        if (replica.loadsUntil !== undefined && replica.loadsUntil <= now) {
            replica.loadsUntil = undefined;
            replica.version = replica.member === Member.Refusing ? 1 : desired.version;
        }
    }
}

function progressOf({ address, loadsUntil, version }: SimulatedReplica): ReplicaProgress {
    return { address, weights: [{ model: "drafting", version }], loading: loadsUntil !== undefined };
}

function act(replica: SimulatedReplica, service: ServiceProgress, now: Milliseconds): void {
    const { address, loadsUntil, member, progress, version } = replica;
    const isIdle = loadsUntil === undefined && version < desired.version;
    if (!isIdle || member === Member.Absent || now < replica.activeFrom) {
        return;
    }
    const { kind } = rolloutStep({
        address,
        version,
        target: desired,
        service,
        age: member === Member.CutOff ? Infinity : replica.reportAge,
        now,
        fallbackAfter,
        allowed,
        progress,
    });
    if (kind === "load" && now >= replica.nextOrderAt) {
        replica.loadsUntil = now + loadTimeOf(replica);
        replica.nextOrderAt = now + 400;
    }
}

function loadTimeOf({ loadTime, member }: SimulatedReplica): Milliseconds {
    switch (member) {
        case Member.LoadsForEver:
            return Infinity;
        case Member.Refusing:
            return step;
        case Member.Sound:
        case Member.Slow:
        case Member.Absent:
        case Member.Returning:
        case Member.CutOff:
            return loadTime;
    }
}

describe("rollout with members that do not move", () => {
    // Guards against replicas that wait without end for the turn of one that has no agent, refuses or never ends to load.
    for (let seed = 1; seed <= seeds; seed++) {
        it(`leaves at most one replica or a tenth behind, of those that can load, with seed ${seed}`, () => {
            const random = seededRandom(seed);
            const count = 4 + Math.floor(random.unit() * 17);
            const troubledShare = random.unit() * 0.5;
            const replicas = Array.from({ length: count }, (_, index) => {
                const member = troubled[Math.floor(random.unit() * troubled.length)];
                return replicaFixture(random, index, random.unit() < troubledShare ? member : Member.Sound);
            });
            const spare = 1 + Math.floor(random.unit() * count);
            const mostLoading = simulate(replicas, spare);
            const able = replicas.filter(({ member }) => !neverLoad.has(member));
            const behind = able.filter(({ version }) => version < desired.version);
            const members = replicas.map(({ member, version }) => `${member}@${version}`).join(" ");
            expect(behind.length, members).to.be.at.most(Math.max(1, Math.floor(able.length / 10)));
            expect(mostLoading, members).to.be.at.most(maxConcurrentLoads(count));
        });
    }
});

/**
 * Fuzz of placement: over random histories of statuses, restarts, drains and requests it never expects an entry
 * that belongs to another account, other weights or an earlier incarnation, and never chooses an endpoint that is
 * known to be unable to serve the request.
 *
 * @module
 */
import { FakeClock } from "@redwingpin/common";
import {
    type CandidateEndpoint,
    maximumEjections,
    type PlacedRequest,
    Placement,
    PlacementOutcome,
    prefixBlocks,
    refillTime,
    ScopeKind,
} from "@redwingpin/placement";
import type { EndpointStatus } from "@redwingpin/protocol";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";

const boundedRuns = 2_000;
const maximumSteps = 80;
const instances = ["one", "two", "three"] as const;
const accounts = ["office", "kartela"] as const;
const versions = ["1", "2"] as const;
const pool = "engines";
const model = "drafting";
const blockTokens = 10;
const levelText = 40;

enum StepKind {
    Status = "status",
    Restart = "restart",
    Down = "down",
    Drain = "drain",
    Upgrade = "upgrade",
    Leave = "leave",
    Join = "join",
    Request = "request",
    Finish = "finish",
    Advance = "advance",
}

interface Step {
    readonly kind: StepKind;
    readonly endpoint: number;
    readonly account: number;
    readonly version: number;
    readonly group: number;
    /** How the attempt ends, for requests. */
    readonly outcome: PlacementOutcome;
    readonly excluded: number | undefined;
    /** True where the status carries a summary of what is held. */
    readonly summary: boolean;
    readonly milliseconds: number;
}

/** What the oracle knows of an endpoint: the truth that the router was last told, and what was computed on it. */
interface EndpointTruth {
    readonly instance: string;
    starts: number;
    up: boolean;
    draining: boolean;
    leaving: boolean;
    version: string;
    /** Blocks computed in this incarnation. */
    computed: Set<string>;
    /** When the router was last told of another incarnation. */
    restartedAt: number;
    /** True where the last status carried a summary. */
    summarised: boolean;
}

const steps = fc.array(
    fc.record<Step>({
        kind: fc.constantFrom(
            ...Object.values(StepKind),
            StepKind.Request,
            StepKind.Request,
            StepKind.Request,
        ),
        endpoint: fc.nat(instances.length - 1),
        account: fc.nat(accounts.length - 1),
        version: fc.nat(versions.length - 1),
        group: fc.nat(1),
        outcome: fc.constantFrom(
            ...Object.values(PlacementOutcome),
            PlacementOutcome.Completed,
            PlacementOutcome.Completed,
        ),
        excluded: fc.option(fc.nat(instances.length - 1), { nil: undefined }),
        summary: fc.boolean(),
        milliseconds: fc.nat(10_000),
    }),
    { maxLength: maximumSteps },
);

/** One history: the router's placement beside the truth. */
class PlacementHistory {
    private readonly clock = new FakeClock();
    private readonly placement = new Placement({ clock: this.clock, dataCentre: "hobart", blockTokens });
    private readonly truths: EndpointTruth[] = instances.map((instance) => ({
        instance,
        starts: 1,
        up: true,
        draining: false,
        leaving: false,
        version: versions[0],
        computed: new Set<string>(),
        restartedAt: Number.NEGATIVE_INFINITY,
        summarised: false,
    }));
    /** Scope that first computed or named each block. */
    private readonly owners = new Map<string, string>();
    private readonly running: { readonly placed: PlacedRequest; readonly outcome: PlacementOutcome; }[] = [];

    constructor() {
        this.tellCandidates();
        this.truths.forEach((truth) => this.tellStatus(truth, true));
    }

    play(step: Step): void {
        const truth = this.truths[step.endpoint]!;
        switch (step.kind) {
            case StepKind.Status:
                return this.tellStatus(truth, step.summary);
            case StepKind.Restart:
                this.restart(truth, true);
                return this.tellStatus(truth, step.summary);
            case StepKind.Down:
                this.restart(truth, false);
                return this.tellStatus(truth, step.summary);
            case StepKind.Drain:
                truth.draining = !truth.draining;
                return this.tellStatus(truth, step.summary);
            case StepKind.Upgrade:
                truth.version = versions[step.version]!;
                return this.tellStatus(truth, step.summary);
            case StepKind.Leave:
            case StepKind.Join:
                truth.leaving = step.kind === StepKind.Leave;
                return this.tellCandidates();
            case StepKind.Advance:
                return this.clock.advance(step.milliseconds);
            case StepKind.Request:
                return this.request(step);
            case StepKind.Finish:
                return this.finishOldest();
        }
    }

    private restart(truth: EndpointTruth, up: boolean): void {
        truth.starts += 1;
        truth.up = up;
        truth.computed = new Set();
        truth.restartedAt = this.clock.now();
    }

    private request(step: Step): void {
        const account = accounts[step.account]!;
        const version = versions[step.version]!;
        const scope = { kind: ScopeKind.Account, name: account, weights: { model, version } };
        const text = "c".repeat(levelText) + String(step.group).repeat(levelText);
        const chain = prefixBlocks(scope, text, blockTokens);
        this.checkOwners(chain.blocks, `${account} ${version}`);
        const excluded: readonly string[] = step.excluded === undefined ? [] : [instances[step.excluded]!];
        const placed = this.placement.choose({
            pool,
            weights: scope.weights,
            prefixBlocks: chain.blocks,
            sharedBlocks: chain.sharedBlocks,
            promptTokens: chain.promptTokens,
        }, excluded);
        const able = this.truths.filter((truth) =>
            canServe(truth, version) && !excluded.includes(truth.instance)
        );
        if (placed === undefined) {
            check(able.length === 0, `no endpoint chosen although ${able.length} can serve`);
            return;
        }
        this.checkPlaced(placed, able);
        this.running.push({ placed, outcome: step.outcome });
    }

    /** The oldest attempt ends; its endpoint may have restarted meanwhile. */
    private finishOldest(): void {
        const oldest = this.running.shift();
        if (oldest === undefined) {
            return;
        }
        const { placed, outcome } = oldest;
        const truth = this.truths.find((candidate) => candidate.instance === placed.instance)!;
        if (outcome === PlacementOutcome.Completed) {
            if (placed.incarnation === incarnationOf(truth)) {
                placed.request.prefixBlocks.forEach((block) => truth.computed.add(block));
            }
            this.placement.observeHead(placed, placed.expectedHitBlocks);
        }
        this.placement.observeOutcome(placed, outcome);
    }

    private checkOwners(blocks: readonly string[], scope: string): void {
        for (const block of blocks) {
            const owner = this.owners.get(block) ?? scope;
            check(owner === scope, `block ${block} of scope ${scope} is named like one of scope ${owner}`);
            this.owners.set(block, scope);
        }
    }

    private checkPlaced(placed: PlacedRequest, able: readonly EndpointTruth[]): void {
        const truth = able.find((candidate) => candidate.instance === placed.instance);
        check(truth !== undefined, `endpoint ${placed.instance} was chosen and cannot serve the request`);
        check(
            placed.incarnation === incarnationOf(truth!),
            `endpoint ${placed.instance} was chosen under incarnation ${placed.incarnation}`,
        );
        const expected = placed.request.prefixBlocks.slice(0, placed.expectedHitBlocks);
        const unknown = expected.filter((block) => !truth!.computed.has(block));
        check(
            this.mayPresume(truth!) || unknown.length === 0,
            `endpoint ${placed.instance} is expected to hold ${unknown.length} blocks that it never computed`,
        );
    }

    /** A home's contents may be presumed of an endpoint that gives no summary and did not restart lately. */
    private mayPresume(truth: EndpointTruth): boolean {
        return !truth.summarised && this.clock.now() - truth.restartedAt >= refillTime;
    }

    private tellCandidates(): void {
        this.placement.replaceCandidates(this.truths.map((truth): CandidateEndpoint => ({
            instance: truth.instance,
            pool,
            dataCentre: "hobart",
            leaving: truth.leaving,
        })));
    }

    private tellStatus(truth: EndpointTruth, summary: boolean): void {
        truth.summarised = summary;
        const status: EndpointStatus = {
            instance: truth.instance,
            pool,
            incarnation: truth.up ? incarnationOf(truth) : undefined,
            draining: truth.draining,
            weights: [{ model, version: truth.version }],
            queuedTokens: 0,
            running: 0,
            tokensPerSecond: 0,
            heldPrefixes: summary
                ? [...truth.computed].map((block) => Number.parseInt(block.slice(0, 8), 16))
                : undefined,
        };
        this.placement.observeStatus(status);
    }
}

function incarnationOf(truth: EndpointTruth): string {
    return `${truth.instance}-${truth.starts}`;
}

function canServe(truth: EndpointTruth, version: string): boolean {
    return truth.up && !truth.draining && !truth.leaving && truth.version === version;
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}

/** Placement against the truth about its endpoints. */
export const placementTarget: FuzzTarget = {
    name: "placement",
    boundedRuns,
    property: () =>
        fc.property(steps, (history) => {
            check(maximumEjections(instances.length) < instances.length, "a whole pool may be ejected");
            const play = new PlacementHistory();
            history.forEach((step) => play.play(step));
        }),
};

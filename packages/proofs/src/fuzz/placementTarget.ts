/**
 * Fuzzes placement: over random histories of statuses, restarts, drains and requests, placement must never
 * expect cached blocks of another account, other weights or an earlier incarnation, and never select an endpoint that
 * is known to be unable to serve the request.
 *
 * @module
 */
import { FakeClock } from "@redwingpin/common";
import {
    type CandidateEndpoint,
    maximumEjectedEndpoints,
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
const charactersPerBlock = 40;

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
    /** Requests of one group have the same prompt. */
    readonly group: number;
    /** Outcome of the attempt, for requests. */
    readonly outcome: PlacementOutcome;
    readonly excluded: number | undefined;
    /** True if the status has a summary of the cached blocks. */
    readonly hasSummary: boolean;
    readonly milliseconds: number;
}

/** Actual state of an endpoint, as last reported to the router, and the blocks that were computed on it. */
interface ActualEndpoint {
    readonly instance: string;
    incarnationNumber: number;
    up: boolean;
    draining: boolean;
    leaving: boolean;
    version: string;
    /** Blocks computed in this incarnation. */
    computed: Set<string>;
    /** Time at which a new incarnation was last reported to the router. */
    restartedAt: number;
    /** True if the last status had a summary. */
    hasReportedSummary: boolean;
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
        hasSummary: fc.boolean(),
        milliseconds: fc.nat(10_000),
    }),
    { maxLength: maximumSteps },
);

/** One history: the router's placement beside the actual state of the endpoints. */
class PlacementHistory {
    private readonly clock = new FakeClock();
    private readonly placement = new Placement({ clock: this.clock, dataCentre: "hobart", blockTokens });
    private readonly endpoints: ActualEndpoint[] = instances.map((instance) => ({
        instance,
        incarnationNumber: 1,
        up: true,
        draining: false,
        leaving: false,
        version: versions[0],
        computed: new Set<string>(),
        restartedAt: Number.NEGATIVE_INFINITY,
        hasReportedSummary: false,
    }));
    /** Scope in which each block's name occurred first. */
    private readonly blockScopes = new Map<string, string>();
    private readonly running: { readonly placed: PlacedRequest; readonly outcome: PlacementOutcome; }[] = [];

    constructor() {
        this.reportCandidates();
        this.endpoints.forEach((endpoint) => this.reportStatus(endpoint, true));
    }

    apply(step: Step): void {
        const endpoint = this.endpoints[step.endpoint]!;
        switch (step.kind) {
            case StepKind.Status:
                return this.reportStatus(endpoint, step.hasSummary);
            case StepKind.Restart:
                this.restart(endpoint, true);
                return this.reportStatus(endpoint, step.hasSummary);
            case StepKind.Down:
                this.restart(endpoint, false);
                return this.reportStatus(endpoint, step.hasSummary);
            case StepKind.Drain:
                endpoint.draining = !endpoint.draining;
                return this.reportStatus(endpoint, step.hasSummary);
            case StepKind.Upgrade:
                endpoint.version = versions[step.version]!;
                return this.reportStatus(endpoint, step.hasSummary);
            case StepKind.Leave:
            case StepKind.Join:
                endpoint.leaving = step.kind === StepKind.Leave;
                return this.reportCandidates();
            case StepKind.Advance:
                return this.clock.advance(step.milliseconds);
            case StepKind.Request:
                return this.request(step);
            case StepKind.Finish:
                return this.finishOldest();
        }
    }

    private restart(endpoint: ActualEndpoint, up: boolean): void {
        endpoint.incarnationNumber += 1;
        endpoint.up = up;
        endpoint.computed = new Set();
        endpoint.restartedAt = this.clock.now();
    }

    private request(step: Step): void {
        const account = accounts[step.account]!;
        const version = versions[step.version]!;
        const scope = { kind: ScopeKind.Account, name: account, weights: { model, version } };
        const text = "c".repeat(charactersPerBlock) + String(step.group).repeat(charactersPerBlock);
        const prefix = prefixBlocks(scope, text, blockTokens);
        this.checkBlockScopes(prefix.blocks, `${account} ${version}`);
        const excluded: readonly string[] = step.excluded === undefined ? [] : [instances[step.excluded]!];
        const placed = this.placement.choose({
            pool,
            weights: scope.weights,
            prefixBlocks: prefix.blocks,
            sharedBlocks: prefix.sharedBlocks,
            promptTokens: prefix.promptTokens,
        }, excluded);
        const eligible = this.endpoints.filter((endpoint) =>
            canServe(endpoint, version) && !excluded.includes(endpoint.instance)
        );
        if (placed === undefined) {
            check(
                eligible.length === 0,
                `no endpoint was selected although ${eligible.length} can serve the request`,
            );
            return;
        }
        this.checkPlaced(placed, eligible);
        this.running.push({ placed, outcome: step.outcome });
    }

    /** Ends the oldest attempt; its endpoint may have restarted in the meantime. */
    private finishOldest(): void {
        const oldest = this.running.shift();
        if (oldest === undefined) {
            return;
        }
        const { placed, outcome } = oldest;
        const endpoint = this.endpoints.find((candidate) => candidate.instance === placed.instance)!;
        if (outcome === PlacementOutcome.Completed) {
            if (placed.incarnation === incarnationOf(endpoint)) {
                placed.request.prefixBlocks.forEach((block) => endpoint.computed.add(block));
            }
            this.placement.observeHead(placed, placed.expectedHitBlocks);
        }
        this.placement.observeOutcome(placed, outcome);
    }

    private checkBlockScopes(blocks: readonly string[], scope: string): void {
        for (const block of blocks) {
            const firstScope = this.blockScopes.get(block) ?? scope;
            check(
                firstScope === scope,
                `block ${block} of scope ${scope} has the name of a block of scope ${firstScope}`,
            );
            this.blockScopes.set(block, scope);
        }
    }

    private checkPlaced(placed: PlacedRequest, eligible: readonly ActualEndpoint[]): void {
        const endpoint = eligible.find((candidate) => candidate.instance === placed.instance);
        check(
            endpoint !== undefined,
            `endpoint ${placed.instance} was selected but cannot serve the request`,
        );
        check(
            placed.incarnation === incarnationOf(endpoint!),
            `endpoint ${placed.instance} was selected with outdated incarnation ${placed.incarnation}`,
        );
        const expected = placed.request.prefixBlocks.slice(0, placed.expectedHitBlocks);
        const uncomputed = expected.filter((block) => !endpoint!.computed.has(block));
        check(
            this.mayAssumeContents(endpoint!) || uncomputed.length === 0,
            `endpoint ${placed.instance} is expected to hold ${uncomputed.length} blocks that it never computed`,
        );
    }

    /** Placement may assume a prefix owner's blocks if the owner reports no summary and did not restart recently. */
    private mayAssumeContents(endpoint: ActualEndpoint): boolean {
        return !endpoint.hasReportedSummary && this.clock.now() - endpoint.restartedAt >= refillTime;
    }

    private reportCandidates(): void {
        this.placement.replaceCandidates(this.endpoints.map((endpoint): CandidateEndpoint => ({
            instance: endpoint.instance,
            pool,
            dataCentre: "hobart",
            leaving: endpoint.leaving,
        })));
    }

    private reportStatus(endpoint: ActualEndpoint, hasSummary: boolean): void {
        endpoint.hasReportedSummary = hasSummary;
        const status: EndpointStatus = {
            instance: endpoint.instance,
            pool,
            incarnation: endpoint.up ? incarnationOf(endpoint) : undefined,
            draining: endpoint.draining,
            weights: [{ model, version: endpoint.version }],
            queuedTokens: 0,
            running: 0,
            tokensPerSecond: 0,
            heldPrefixes: hasSummary
                ? [...endpoint.computed].map((block) => Number.parseInt(block.slice(0, 8), 16))
                : undefined,
        };
        this.placement.observeStatus(status);
    }
}

function incarnationOf(endpoint: ActualEndpoint): string {
    return `${endpoint.instance}-${endpoint.incarnationNumber}`;
}

function canServe(endpoint: ActualEndpoint, version: string): boolean {
    return endpoint.up && !endpoint.draining && !endpoint.leaving && endpoint.version === version;
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}

/** Fuzzes placement against the actual state of its endpoints. */
export const placementTarget: FuzzTarget = {
    name: "placement",
    boundedRuns,
    property: () =>
        fc.property(steps, (history) => {
            check(
                maximumEjectedEndpoints(instances.length) < instances.length,
                "a whole pool can be ejected",
            );
            const placementHistory = new PlacementHistory();
            history.forEach((step) => placementHistory.apply(step));
        }),
};

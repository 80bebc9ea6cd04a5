/**
 * The two deployments that the policy experiment simulates: fleet sizes, prompts and call rates.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { RoutePriority } from "@redwingpin/manifest";

export enum DeploymentName {
    Office = "office",
    Kartela = "kartela",
}

/** A kind of call that an account's applications make. */
export interface CallKind {
    /** How often this kind occurs, relative to the sum over all kinds. */
    readonly relativeFrequency: number;
    readonly priority: RoutePriority;
    /** True for an open route, whose callers share cache entries. */
    readonly isOpenRoute: boolean;
    /** True for chat messages, false for plain text. */
    readonly isChat: boolean;
    readonly queryTokens: readonly [minimum: number, maximum: number];
    readonly outputTokens: readonly [minimum: number, maximum: number];
    readonly deadline: Milliseconds;
}

/** A client account and its part of the load. */
export interface AccountLoad {
    readonly name: string;
    /** The account's call rate, relative to the sum over all accounts. */
    readonly relativeRate: number;
}

/** One deployment: fleet, prompts and callers. A prompt is a catalogue, the rules of a group and a query. */
export interface Deployment {
    readonly name: DeploymentName;
    readonly dataCentres: readonly string[];
    /** One-way network latency between data centres. */
    readonly remoteLatency: Milliseconds;
    readonly routers: number;
    readonly replicas: number;
    /** Blocks that one replica can cache. */
    readonly cacheBlocks: number;
    readonly model: string;
    /** Tokens of the catalogue, the first level of a prompt. */
    readonly catalogueTokens: number;
    /** Number of groups (makers or shops) of each account. */
    readonly groups: number;
    /** Tokens of the rules of one group, the second level of a prompt. */
    readonly ruleTokens: readonly [minimum: number, maximum: number];
    readonly accounts: readonly AccountLoad[];
    readonly callKinds: readonly CallKind[];
    /** Calls per second of all accounts together. */
    readonly callsPerSecond: number;
}

const office: Deployment = {
    name: DeploymentName.Office,
    dataCentres: ["hobart", "launceston", "burnie"],
    remoteLatency: 0.5,
    routers: 4,
    replicas: 8,
    cacheBlocks: 160,
    model: "drafting",
    catalogueTokens: 23_000,
    groups: 50,
    ruleTokens: [6_000, 12_000],
    accounts: [
        { name: "bridport", relativeRate: 40 },
        { name: "swansea", relativeRate: 25 },
        { name: "penguin", relativeRate: 20 },
        { name: "zeehan", relativeRate: 10 },
        { name: "oatlands", relativeRate: 5 },
    ],
    callKinds: [
        {
            relativeFrequency: 3,
            priority: RoutePriority.Interactive,
            isOpenRoute: true,
            isChat: true,
            queryTokens: [100, 400],
            outputTokens: [10, 40],
            deadline: 8_000,
        },
        {
            relativeFrequency: 6,
            priority: RoutePriority.Normal,
            isOpenRoute: false,
            isChat: true,
            queryTokens: [300, 1_800],
            outputTokens: [60, 200],
            deadline: 15_000,
        },
        {
            relativeFrequency: 1,
            priority: RoutePriority.Bulk,
            isOpenRoute: false,
            isChat: true,
            queryTokens: [1_000, 4_000],
            outputTokens: [100, 300],
            deadline: 30_000,
        },
    ],
    callsPerSecond: 5,
};

const kartela: Deployment = {
    name: DeploymentName.Kartela,
    dataCentres: ["attica-a", "attica-b", "attica-c"],
    remoteLatency: 1,
    routers: 4,
    replicas: 8,
    cacheBlocks: 120,
    model: "lexis",
    catalogueTokens: 15_000,
    groups: 120,
    ruleTokens: [3_000, 7_000],
    accounts: [
        { name: "aigina", relativeRate: 30 },
        { name: "hydra", relativeRate: 30 },
        { name: "naxos", relativeRate: 25 },
        { name: "syros", relativeRate: 10 },
        { name: "tinos", relativeRate: 5 },
    ],
    callKinds: [
        {
            relativeFrequency: 3,
            priority: RoutePriority.Interactive,
            isOpenRoute: false,
            isChat: false,
            queryTokens: [100, 600],
            outputTokens: [20, 80],
            deadline: 10_000,
        },
        {
            relativeFrequency: 6,
            priority: RoutePriority.Normal,
            isOpenRoute: false,
            isChat: false,
            queryTokens: [200, 1_500],
            outputTokens: [60, 160],
            deadline: 15_000,
        },
        {
            relativeFrequency: 1,
            priority: RoutePriority.Bulk,
            isOpenRoute: false,
            isChat: true,
            queryTokens: [800, 3_000],
            outputTokens: [100, 250],
            deadline: 30_000,
        },
    ],
    callsPerSecond: 8,
};

/** Every deployment by name. */
export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
    [DeploymentName.Office]: office,
    [DeploymentName.Kartela]: kartela,
};

/**
 * Sizes of the two deployments, as the policy experiment plays them.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { RoutePriority } from "@redwingpin/manifest";

/** Names of the deployments. */
export enum DeploymentName {
    Office = "office",
    Kartela = "kartela",
}

/** A kind of call that an account's applications make. */
export interface CallKind {
    /** Part of the account's calls, over the sum of all parts. */
    readonly part: number;
    readonly priority: RoutePriority;
    /** True where the cache entries are shared by the callers of an open route. */
    readonly open: boolean;
    /** True for chat messages, false for plain text. */
    readonly chat: boolean;
    readonly queryTokens: readonly [minimum: number, maximum: number];
    readonly outputTokens: readonly [minimum: number, maximum: number];
    readonly deadline: Milliseconds;
}

/** A client account of the experiment. */
export interface AccountLoad {
    readonly name: string;
    /** Part of the deployment's calls, over the sum of all parts. */
    readonly part: number;
}

/** One deployment: fleet, prompts and callers. */
export interface Deployment {
    readonly name: DeploymentName;
    readonly dataCentres: readonly string[];
    /** One way between data centres. */
    readonly betweenDataCentres: Milliseconds;
    readonly routers: number;
    readonly replicas: number;
    /** Blocks that one replica caches. */
    readonly cacheBlocks: number;
    readonly model: string;
    /** Tokens of the outermost level of a prompt. */
    readonly catalogueTokens: number;
    /** Makers or shops of each account. */
    readonly groups: number;
    /** Tokens of one maker's or shop's rules. */
    readonly ruleTokens: readonly [minimum: number, maximum: number];
    readonly accounts: readonly AccountLoad[];
    readonly calls: readonly CallKind[];
    /** Calls a second of all accounts together. */
    readonly callsPerSecond: number;
}

const office: Deployment = {
    name: DeploymentName.Office,
    dataCentres: ["hobart", "launceston", "burnie"],
    betweenDataCentres: 0.5,
    routers: 4,
    replicas: 8,
    cacheBlocks: 160,
    model: "drafting",
    catalogueTokens: 23_000,
    groups: 50,
    ruleTokens: [6_000, 12_000],
    accounts: [
        { name: "bridport", part: 40 },
        { name: "swansea", part: 25 },
        { name: "penguin", part: 20 },
        { name: "zeehan", part: 10 },
        { name: "oatlands", part: 5 },
    ],
    calls: [
        {
            part: 3,
            priority: RoutePriority.Interactive,
            open: true,
            chat: true,
            queryTokens: [100, 400],
            outputTokens: [10, 40],
            deadline: 8_000,
        },
        {
            part: 6,
            priority: RoutePriority.Normal,
            open: false,
            chat: true,
            queryTokens: [300, 1_800],
            outputTokens: [60, 200],
            deadline: 15_000,
        },
        {
            part: 1,
            priority: RoutePriority.Bulk,
            open: false,
            chat: true,
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
    betweenDataCentres: 1,
    routers: 4,
    replicas: 8,
    cacheBlocks: 120,
    model: "lexis",
    catalogueTokens: 15_000,
    groups: 120,
    ruleTokens: [3_000, 7_000],
    accounts: [
        { name: "aigina", part: 30 },
        { name: "hydra", part: 30 },
        { name: "naxos", part: 25 },
        { name: "syros", part: 10 },
        { name: "tinos", part: 5 },
    ],
    calls: [
        {
            part: 3,
            priority: RoutePriority.Interactive,
            open: false,
            chat: false,
            queryTokens: [100, 600],
            outputTokens: [20, 80],
            deadline: 10_000,
        },
        {
            part: 6,
            priority: RoutePriority.Normal,
            open: false,
            chat: false,
            queryTokens: [200, 1_500],
            outputTokens: [60, 160],
            deadline: 15_000,
        },
        {
            part: 1,
            priority: RoutePriority.Bulk,
            open: false,
            chat: true,
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

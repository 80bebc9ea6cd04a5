/**
 * Messages on {@link Topic.Fleet}: what routers and replica agents tell each other.
 *
 * @module
 */
import { isAmount, isCount, isFlag, isListOf, isOptional, isShaped, isText } from "@redwingpin/common";
import type { InnerAddress } from "@redwingpin/protocol";
import type { FleetFact, FleetWatermark } from "./decision/fleetState.js";
import type { ModelWeights } from "./directConfiguration.js";

/** Tokens that a router has spent for an account since its start. */
export interface AccountSpending {
    readonly account: string;
    readonly tokens: number;
}

/** What a router has spent, told by another one. */
export interface RelayedSpending {
    /** The start of the router that has spent it. */
    readonly incarnation: string;
    /** Milliseconds since that start. */
    readonly age: number;
    readonly spent: readonly AccountSpending[];
}

/** Work that a router has sent to an endpoint and that has not begun to answer. */
export interface EndpointLoad {
    readonly instance: string;
    readonly waitingTokens: number;
    readonly running: number;
}

/** Endpoints that a request has crashed, as far as the sender knows. */
export interface CrashCount {
    readonly fingerprint: string;
    readonly crashes: number;
}

/** What the agent beside a replica says of it. */
export interface ReplicaStatus {
    /** Differs for each start of the agent. */
    readonly start: string;
    /** Grows with each status of one start; those that a router relays may arrive out of order. */
    readonly number: number;
    /** Differs for each start of the replica; absent until the agent has learned it. */
    readonly instance?: string;
    /** `host:port` of the replica. */
    readonly address: string;
    readonly weights: readonly ModelWeights[];
    /** True from shortly before the replica is told to load weights until it serves them. */
    readonly loading: boolean;
    /** Milliseconds until the replica is expected to load weights; absent where it is not soon. */
    readonly loadsIn?: number;
    readonly running: number;
    readonly queued: number;
    readonly cacheUsed: number;
    readonly cacheTotal: number;
}

/** What an agent says of its replica, told by the router that the agent looks to. */
export interface RelayedStatus {
    readonly status: ReplicaStatus;
    /** Milliseconds since the agent said so. */
    readonly age: number;
}

/** What a router tells an agent of the replicas of the agent's service. */
export interface ReplicaProgress {
    readonly address: string;
    readonly weights: readonly ModelWeights[];
    readonly loading: boolean;
}

/** What a router tells an agent of the service of its replica. */
export interface ServiceProgress {
    readonly replicas: readonly ReplicaProgress[];
    /** Replicas that may be out of service at once, as requests come now. */
    readonly spare: number;
}

/** Prompt tokens that a router's requests to a service make engines read. */
export interface ServiceDemand {
    readonly service: string;
    readonly tokensPerMillisecond: number;
}

/** A prefix that was saved to a cache store. */
export interface SavedPrefix {
    readonly name: string;
    readonly tokens: number;
    /** `host:port` of the store. */
    readonly store: string;
}

/** A report without content. */
export const emptyReport: PeerReport = {
    age: 0,
    spent: [],
    load: [],
    crashes: [],
    levels: [],
    demand: [],
    saved: [],
    missing: [],
    relayed: [],
    replicas: [],
};

/** What a process tells a peer at each exchange. */
export interface PeerReport {
    /** Milliseconds since the sender's start. */
    readonly age: number;
    /** What the receiver has not been told yet. */
    readonly spent: readonly AccountSpending[];
    readonly load: readonly EndpointLoad[];
    readonly crashes: readonly CrashCount[];
    /** Level of each account's bucket, for peers that have just started. */
    readonly levels: readonly AccountSpending[];
    /** From an agent: its replica. */
    readonly replica?: ReplicaStatus;
    readonly demand: readonly ServiceDemand[];
    /** Prefixes saved to cache stores since the last reports. */
    readonly saved: readonly SavedPrefix[];
    /** Time since the store last answered the sender, where it follows the registrations of endpoints. */
    readonly followedAge?: number;
    /** Addresses, as `host:port`, of routers that the sender knows of and has not heard for a while. */
    readonly missing: readonly string[];
    /** What the routers have spent that the receiver misses, as far as the sender knows. */
    readonly relayed: readonly RelayedSpending[];
    /** To routers: the replicas of the agents that look to the sender. */
    readonly replicas: readonly RelayedStatus[];
    /** From the router that an agent looks to: the agent's service, while replicas of it serve replaced weights. */
    readonly service?: ServiceProgress;
}

/** Kinds of messages on the topic. */
export enum FleetMessageKind {
    /** A periodic exchange, answered by {@link SyncReply}. */
    Sync = "sync",
    /** Facts that the receiver lacks. */
    News = "news",
    /** An agent's replica has changed. */
    Replica = "replica",
    /** Asks for the configuration, answered by {@link ConfigurationReply}. */
    FetchConfiguration = "fetchConfiguration",
}

/** What a process says first in an exchange. */
export interface SyncCall {
    readonly kind: FleetMessageKind.Sync;
    /** Where the sender listens, for routers. */
    readonly address?: InnerAddress;
    readonly mark: FleetWatermark;
    readonly report: PeerReport;
    /** Number of the last reply that the sender has from the receiver. */
    readonly lastReply?: number;
}

/** Answers a {@link SyncCall}. */
export interface SyncReply {
    readonly mark: FleetWatermark;
    /** Facts that the caller lacked. */
    readonly news: readonly FleetFact[];
    /** Routers that the sender hears from; empty where they have not changed since the last reply on the connection. */
    readonly routers: readonly InnerAddress[];
    readonly report: PeerReport;
    /** Grows with each reply of one start of a process; the next call says which was received. */
    readonly number: number;
}

/** Facts for a process that is behind. */
export interface NewsMessage {
    readonly kind: FleetMessageKind.News;
    readonly news: readonly FleetFact[];
    readonly mark: FleetWatermark;
}

/** Tells routers of a replica outside the periodic exchange. */
export interface ReplicaMessage {
    readonly kind: FleetMessageKind.Replica;
    readonly replica: ReplicaStatus;
}

/** Asks a peer that has a newer configuration for it. */
export interface FetchConfigurationCall {
    readonly kind: FleetMessageKind.FetchConfiguration;
    /** Version that the sender has; 0 for none. */
    readonly version: number;
}

/** Answers a {@link FetchConfigurationCall}. */
export interface ConfigurationReply {
    /** The configuration; empty where the sender has none that is newer. */
    readonly news: readonly FleetFact[];
}

/** Every message on the topic, but for the replies. */
export type FleetMessage = SyncCall | NewsMessage | ReplicaMessage | FetchConfigurationCall;

const markShape = { configuration: isCount, weights: isCount, endpoints: isCount };
const isAddress = isShaped({ host: isText, port: isCount });
const isWeights = isShaped({ model: isText, version: isCount });
const spendingShape = { account: isText, tokens: (value: unknown) => Number.isFinite(value) };
const replicaShape = {
    start: isText,
    number: isCount,
    instance: isOptional(isText),
    address: isText,
    weights: isListOf(isWeights),
    loading: isFlag,
    loadsIn: isOptional(isAmount),
    running: isAmount,
    queued: isAmount,
    cacheUsed: isAmount,
    cacheTotal: isAmount,
};
const isProgress = isShaped({ address: isText, weights: isListOf(isWeights), loading: isFlag });
const reportShape = {
    age: isAmount,
    spent: isListOf(isShaped(spendingShape)),
    load: isListOf(isShaped({ instance: isText, waitingTokens: isAmount, running: isAmount })),
    crashes: isListOf(isShaped({ fingerprint: isText, crashes: isCount })),
    levels: isListOf(isShaped(spendingShape)),
    demand: isListOf(isShaped({ service: isText, tokensPerMillisecond: isAmount })),
    saved: isListOf(isShaped({ name: isText, tokens: isCount, store: isText })),
    followedAge: isOptional(isAmount),
    missing: isListOf(isText),
    relayed: isListOf(
        isShaped({ incarnation: isText, age: isAmount, spent: isListOf(isShaped(spendingShape)) }),
    ),
    replica: isOptional(isShaped(replicaShape)),
    replicas: isListOf(isShaped({ status: isShaped(replicaShape), age: isAmount })),
    service: isOptional(isShaped({ replicas: isListOf(isProgress), spare: isCount })),
};
const isFact = isShaped({ kind: isText, revision: isCount });
const isSync = isShaped({
    address: isOptional(isAddress),
    mark: isShaped(markShape),
    report: isShaped(reportShape),
    lastReply: isOptional(isCount),
});
const isNews = isShaped({ news: isListOf(isFact), mark: isShaped(markShape) });
const isReplicaMessage = isShaped({ replica: isShaped(replicaShape) });
const isFetch = isShaped({ version: isCount });
const isConfigurationReply = isShaped({ news: isListOf(isFact) });
const isReply = isShaped({
    mark: isShaped(markShape),
    news: isListOf(isFact),
    routers: isListOf(isAddress),
    report: isShaped(reportShape),
    number: isCount,
});

/** Reads a message of the topic; `undefined` where it has another shape. */
export function readFleetMessage(body: unknown): FleetMessage | undefined {
    switch ((body as FleetMessage | undefined)?.kind) {
        case FleetMessageKind.Sync:
            return isSync(body) ? body as SyncCall : undefined;
        case FleetMessageKind.News:
            return isNews(body) ? body as NewsMessage : undefined;
        case FleetMessageKind.Replica:
            return isReplicaMessage(body) ? body as ReplicaMessage : undefined;
        case FleetMessageKind.FetchConfiguration:
            return isFetch(body) ? body as FetchConfigurationCall : undefined;
        default:
            return undefined;
    }
}

/** Reads the answer to a {@link SyncCall}; `undefined` where it has another shape. */
export function readSyncReply(body: unknown): SyncReply | undefined {
    return isReply(body) ? body as SyncReply : undefined;
}

/** Reads the answer to a {@link FetchConfigurationCall}; `undefined` where it has another shape. */
export function readConfigurationReply(body: unknown): ConfigurationReply | undefined {
    return isConfigurationReply(body) ? body as ConfigurationReply : undefined;
}

/**
 * Messages on {@link Topic.Fleet}, which routers and replica agents exchange.
 *
 * @module
 */
import {
    isBoolean,
    isListOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isOptional,
    isPositiveNumber,
    isShaped,
    isString,
    isTagged,
} from "@redwingpin/common";
import type { InnerAddress } from "@redwingpin/protocol";
import type { ConfigurationPart, TransferPosition } from "./decision/configurationAssembly.js";
import type { FleetFact, FleetWatermark } from "./decision/fleetState.js";
import type { WatcherAnswer } from "./decision/watcherSelection.js";
import type { ModelWeights } from "./directConfiguration.js";

/** Tokens that a router has spent for an account since its start. */
export interface AccountSpending {
    readonly account: string;
    readonly tokens: number;
}

/** What a router has spent, relayed by another one. */
export interface RelayedSpending {
    /** Incarnation of the router that has spent it. */
    readonly incarnation: string;
    /** Milliseconds since that router's start. */
    readonly age: number;
    readonly spent: readonly AccountSpending[];
}

/** Load that a router has put on an endpoint. */
export interface EndpointLoad {
    readonly instance: string;
    /** Prompt tokens of the requests that the endpoint has not begun to answer. */
    readonly waitingTokens: number;
    /** Number of requests that have not ended. */
    readonly running: number;
    /** Milliseconds for which the endpoint has been unresponsive to the router; absent if it is not. */
    readonly silentFor?: number;
    /** Milliseconds since the router received bytes from the endpoint; present if others find it unresponsive. */
    readonly answeredAge?: number;
    /** Times of the endpoint's answers as a multiple of those of its service; absent if the router knows no difference. */
    readonly slowness?: number;
    /** Number of measurements behind `slowness`, by their remaining weight. */
    readonly evidence?: number;
}

/** A request whose endpoint crashed before the answer was complete, as the sender itself has observed. */
export interface CrashSuspect {
    /** Fingerprint of the request. */
    readonly request: string;
    /** Parts that its prompt may share with others, outermost first. */
    readonly parts: readonly string[];
    /** Instance of the endpoint. */
    readonly endpoint: string;
    /** Milliseconds since the request was sent to the endpoint. */
    readonly sentAge: number;
    /** Milliseconds since the endpoint crashed. */
    readonly crashAge: number;
    /**
     * True if the answer had lasted for a while before the crash.
     * @default false
     */
    readonly hasSurvived?: boolean;
}

/** A part of prompts that an endpoint has survived. */
export interface AnsweredPart {
    readonly part: string;
    /** Milliseconds since an endpoint was last known to have survived it. */
    readonly age: number;
}

/** A request or a part of prompts that is refused, since it crashes endpoints. */
export interface QuarantinedCause {
    /** `request` or `part`. */
    readonly kind: string;
    readonly name: string;
    readonly firstCrashAge: number;
    readonly lastCrashAge: number;
}

/** What a router reports of crashes: the changes that the receiver does not have yet. */
export interface CrashReport {
    /** Number of the sender's last change that the report and earlier ones contain. */
    readonly lastChange: number;
    readonly suspects: readonly CrashSuspect[];
    readonly answered: readonly AnsweredPart[];
    readonly quarantined: readonly QuarantinedCause[];
}

/** Status of a replica, as its agent reports it. */
export interface ReplicaStatus {
    /** Differs for each start of the agent. */
    readonly start: string;
    /** Increases with each status of one start; relayed statuses may arrive out of order. */
    readonly number: number;
    /** Differs for each start of the replica; absent until the agent knows it. */
    readonly instance?: string;
    /** `host:port` of the replica. */
    readonly address: string;
    readonly weights: readonly ModelWeights[];
    /** True from shortly before the replica is ordered to load weights until it serves them. */
    readonly loading: boolean;
    /** Milliseconds until the replica is expected to load weights; absent unless that is soon. */
    readonly loadsIn?: number;
    readonly running: number;
    readonly queued: number;
    readonly cacheUsed: number;
    readonly cacheTotal: number;
}

/** Status of a replica, relayed by the router that owns its agent. */
export interface RelayedStatus {
    readonly status: ReplicaStatus;
    /** Milliseconds since the agent reported it. */
    readonly age: number;
}

/** State of one replica in {@link ServiceProgress}. */
export interface ReplicaProgress {
    readonly address: string;
    readonly weights: readonly ModelWeights[];
    readonly loading: boolean;
}

/** Progress of loading the desired weights in one service, sent to the agents of its replicas. */
export interface ServiceProgress {
    readonly replicas: readonly ReplicaProgress[];
    /** Number of replicas that may be out of service at the same time at the present demand. */
    readonly spare: number;
}

/** Rate at which the requests of a router make the engines of a service process prompt tokens. */
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

/** Outcomes of requests to one version of a service on one route, as counts since the order that they belong to. */
export interface VersionOutcomes {
    readonly route: string;
    /** True for the version that the order names, false for all others together. */
    readonly isNew: boolean;
    readonly started: number;
    readonly ended: number;
    /** Requests that were answered or whose connection broke: what the other counts add up to. */
    readonly answered: number;
    readonly failed: number;
    /** Answers that did not fail by the ratio of their latency to the predicted one, in steps of a factor. */
    readonly latencies: readonly number[];
    /** Requests that ended by their duration, in steps of a factor. */
    readonly durations: readonly number[];
}

/** What a router reports of one version rollout to the routers that decide on it. */
export interface VersionReport {
    readonly service: string;
    /** Position of the order. */
    readonly order: number;
    /** Increases with each report of one incarnation of a router. */
    readonly number: number;
    /** Last phase that the router knew. */
    readonly phase: string;
    /** Requests for the service since the order. */
    readonly requests: number;
    /** Requests that were sent to the new version. */
    readonly exposed: number;
    readonly rows: readonly VersionOutcomes[];
    /** Requests of the router that run on old endpoints, also those that began before the order. */
    readonly runningOld?: number;
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

/** What a process sends to a peer in each exchange. */
export interface PeerReport {
    /** Milliseconds since the sender's start. */
    readonly age: number;
    /** Spending of the sender that has not been delivered to the receiver. */
    readonly spent: readonly AccountSpending[];
    readonly load: readonly EndpointLoad[];
    /** Always empty; required by routers of earlier releases. */
    readonly crashes: readonly never[];
    /** Absent if there is nothing new, and from earlier releases. */
    readonly crashReport?: CrashReport;
    /** Level of each account's token bucket, for peers that have just started. */
    readonly levels: readonly AccountSpending[];
    /** Status of the sender's replica, if the sender is an agent. */
    readonly replica?: ReplicaStatus;
    readonly demand: readonly ServiceDemand[];
    /**
     * Decaying work that the sender has given to accounts, in tokens, the largest ones. Absent from earlier releases, and unless
     * accounts share scarce capacity by it.
     */
    readonly work?: readonly AccountSpending[];
    /** Prefixes saved to cache stores since the previous reports. */
    readonly saved: readonly SavedPrefix[];
    /** Milliseconds since the store last answered the sender; absent unless it watches the endpoints' registrations. */
    readonly followedAge?: number;
    /** The latest answer of the store to any router that watches the registrations, as far as the sender knows. */
    readonly latestAnswer?: WatcherAnswer;
    /** Addresses, as `host:port`, of known routers with which the sender has had no contact for some time. */
    readonly missing: readonly string[];
    /** Spending, as known to the sender, of routers with which the receiver has had no contact for some time. */
    readonly relayed: readonly RelayedSpending[];
    /** Statuses of the replicas whose agents the sender owns, if the receiver is a router. */
    readonly replicas: readonly RelayedStatus[];
    /** While orders for other versions run, to the routers that decide on them; absent from earlier releases. */
    readonly versions?: readonly VersionReport[];
    /** From the owner of an agent: the agent's service, while replicas of it serve superseded weights. */
    readonly service?: ServiceProgress;
}

export enum FleetMessageKind {
    /** A periodic exchange, answered by {@link SyncReply}. */
    Sync = "sync",
    /** Facts that the receiver lacks. */
    Facts = "news",
    /** A change of an agent's replica. */
    Replica = "replica",
    /** A request for the configuration, answered by {@link ConfigurationReply}. */
    FetchConfiguration = "fetchConfiguration",
    /** A request for a permit, answered by {@link PermitReply}. */
    Permit = "permit",
    /** A request for tokens of an account, answered by {@link TokenReply}. */
    Tokens = "tokens",
}

/** Starts an exchange. */
export interface SyncCall {
    readonly kind: FleetMessageKind.Sync;
    /** Where the sender listens; present if it is a router. */
    readonly address?: InnerAddress;
    readonly mark: FleetWatermark;
    readonly report: PeerReport;
    /** Number of the last reply that the sender received from the receiver. */
    readonly lastReply?: number;
}

/** Answers a {@link SyncCall}. */
export interface SyncReply {
    readonly mark: FleetWatermark;
    /** Facts that the caller lacked. */
    readonly news: readonly FleetFact[];
    /** Routers with which the sender had contact recently; empty if unchanged since the connection's last reply. */
    readonly routers: readonly InnerAddress[];
    readonly report: PeerReport;
    /** Increases with each reply of one start of a process; the next call repeats the number that was received. */
    readonly number: number;
}

/** Facts for a process that is behind. */
export interface FactsMessage {
    readonly kind: FleetMessageKind.Facts;
    readonly news: readonly FleetFact[];
    readonly mark: FleetWatermark;
}

/** Sends a replica's status to routers outside the periodic exchange. */
export interface ReplicaMessage {
    readonly kind: FleetMessageKind.Replica;
    readonly replica: ReplicaStatus;
}

/** Requests the configuration from a peer that has a newer one. */
export interface FetchConfigurationCall {
    readonly kind: FleetMessageKind.FetchConfiguration;
    /** Version that the sender has; 0 for none. */
    readonly version: number;
    /** What the sender has of the next version. Absent from earlier releases, which expect the whole configuration. */
    readonly transfer?: TransferPosition;
}

/** Answers a {@link FetchConfigurationCall}. */
export interface ConfigurationReply {
    /** The configuration; empty if the sender has none that is newer, or sends a part of it. */
    readonly news: readonly FleetFact[];
    /** The part that the call asked for, or the first one if the position is of another encoding. */
    readonly part?: ConfigurationPart;
    /** True if the sender sends its configuration to others at present. */
    readonly busy?: boolean;
}

/**
 * Asks the owner of an endpoint for a permit to send it one request, or tells it that the endpoint states no limit any more.
 */
export interface PermitRequest {
    /** Instance of the endpoint. */
    readonly endpoint: string;
    /** Requests per second that the endpoint takes from all routers; absent if it no longer states a limit. */
    readonly perSecond?: number;
    /** Milliseconds since the endpoint last stated that. */
    readonly age: number;
}

/** Sends a {@link PermitRequest}. */
export interface PermitCall extends PermitRequest {
    readonly kind: FleetMessageKind.Permit;
}

/** Answers a {@link PermitCall}. */
export type PermitReply =
    | { readonly kind: "granted"; }
    /** The sender may ask again after `retryAfter` milliseconds. */
    | { readonly kind: "denied"; readonly retryAfter: number; }
    /** The endpoint states no limit any more, which became known `age` milliseconds ago. */
    | { readonly kind: "unlimited"; readonly age: number; };

/** Asks a holder of an account for tokens. */
export interface TokenRequest {
    readonly account: string;
    readonly tokens: number;
}

/** Sends a {@link TokenRequest}. */
export interface TokenCall extends TokenRequest {
    readonly kind: FleetMessageKind.Tokens;
}

/** Answers a {@link TokenCall}. */
export type TokenReply =
    | { readonly kind: "granted"; }
    /** The bucket holds `level` tokens; the request may be granted after `retryAfter` milliseconds. */
    | { readonly kind: "denied"; readonly level: number; readonly retryAfter: number; };

/** Every message on the topic except the replies. */
export type FleetMessage =
    | SyncCall
    | FactsMessage
    | ReplicaMessage
    | FetchConfigurationCall
    | PermitCall
    | TokenCall;

const markShape = {
    configuration: isNonNegativeInteger,
    weights: isNonNegativeInteger,
    endpoints: isNonNegativeInteger,
    rollouts: isOptional(isString),
};
const isAddress = isShaped({ host: isString, port: isNonNegativeInteger });
const isWeights = isShaped({ model: isString, version: isNonNegativeInteger });
const spendingShape = { account: isString, tokens: (value: unknown) => Number.isFinite(value) };
const replicaShape = {
    start: isString,
    number: isNonNegativeInteger,
    instance: isOptional(isString),
    address: isString,
    weights: isListOf(isWeights),
    loading: isBoolean,
    loadsIn: isOptional(isNonNegativeNumber),
    running: isNonNegativeNumber,
    queued: isNonNegativeNumber,
    cacheUsed: isNonNegativeNumber,
    cacheTotal: isNonNegativeNumber,
};
const isProgress = isShaped({ address: isString, weights: isListOf(isWeights), loading: isBoolean });
const reportShape = {
    age: isNonNegativeNumber,
    spent: isListOf(isShaped(spendingShape)),
    load: isListOf(
        isShaped({
            instance: isString,
            waitingTokens: isNonNegativeNumber,
            running: isNonNegativeNumber,
            silentFor: isOptional(isNonNegativeNumber),
            answeredAge: isOptional(isNonNegativeNumber),
            slowness: isOptional(isPositiveNumber),
            evidence: isOptional(isNonNegativeNumber),
        }),
    ),
    crashes: isListOf(isShaped({})),
    crashReport: isOptional(isShaped({
        lastChange: isNonNegativeInteger,
        suspects: isListOf(isShaped({
            request: isString,
            parts: isListOf(isString),
            endpoint: isString,
            sentAge: isNonNegativeNumber,
            crashAge: isNonNegativeNumber,
            hasSurvived: isOptional(isBoolean),
        })),
        answered: isListOf(isShaped({ part: isString, age: isNonNegativeNumber })),
        quarantined: isListOf(isShaped({
            kind: isString,
            name: isString,
            firstCrashAge: isNonNegativeNumber,
            lastCrashAge: isNonNegativeNumber,
        })),
    })),
    levels: isListOf(isShaped(spendingShape)),
    demand: isListOf(isShaped({ service: isString, tokensPerMillisecond: isNonNegativeNumber })),
    work: isOptional(isListOf(isShaped({ account: isString, tokens: isNonNegativeNumber }))),
    saved: isListOf(isShaped({ name: isString, tokens: isNonNegativeInteger, store: isString })),
    followedAge: isOptional(isNonNegativeNumber),
    latestAnswer: isOptional(
        isShaped({ router: isString, number: isNonNegativeInteger, age: isNonNegativeNumber }),
    ),
    missing: isListOf(isString),
    relayed: isListOf(
        isShaped({
            incarnation: isString,
            age: isNonNegativeNumber,
            spent: isListOf(isShaped(spendingShape)),
        }),
    ),
    replica: isOptional(isShaped(replicaShape)),
    replicas: isListOf(isShaped({ status: isShaped(replicaShape), age: isNonNegativeNumber })),
    service: isOptional(isShaped({ replicas: isListOf(isProgress), spare: isNonNegativeInteger })),
    versions: isOptional(isListOf(isShaped({
        service: isString,
        order: isNonNegativeInteger,
        number: isNonNegativeInteger,
        phase: isString,
        requests: isNonNegativeInteger,
        exposed: isNonNegativeInteger,
        runningOld: isOptional(isNonNegativeInteger),
        rows: isListOf(isShaped({
            route: isString,
            isNew: isBoolean,
            started: isNonNegativeInteger,
            ended: isNonNegativeInteger,
            answered: isNonNegativeInteger,
            failed: isNonNegativeInteger,
            latencies: isListOf(isNonNegativeInteger),
            durations: isListOf(isNonNegativeInteger),
        })),
    }))),
};
const isFact = isShaped({ kind: isString, revision: isNonNegativeInteger });
const isSync = isShaped({
    address: isOptional(isAddress),
    mark: isShaped(markShape),
    report: isShaped(reportShape),
    lastReply: isOptional(isNonNegativeInteger),
});
const isFactsMessage = isShaped({ news: isListOf(isFact), mark: isShaped(markShape) });
const isReplicaMessage = isShaped({ replica: isShaped(replicaShape) });
const isFetch = isShaped({
    version: isNonNegativeInteger,
    transfer: isOptional(isShaped({ digest: isString, offset: isNonNegativeInteger })),
});
const isPermit = isShaped({
    endpoint: isString,
    perSecond: isOptional(isPositiveNumber),
    age: isNonNegativeNumber,
});
const isPermitReply = isTagged("kind", {
    granted: {},
    denied: { retryAfter: isNonNegativeNumber },
    unlimited: { age: isNonNegativeNumber },
});
const isTokens = isShaped({ account: isString, tokens: isNonNegativeNumber });
const isTokenReply = isTagged("kind", {
    granted: {},
    denied: { level: (value: unknown) => Number.isFinite(value), retryAfter: isNonNegativeNumber },
});
const isConfigurationReply = isShaped({
    news: isListOf(isFact),
    part: isOptional(isShaped({
        version: isNonNegativeInteger,
        digest: isString,
        totalBytes: isNonNegativeInteger,
        offset: isNonNegativeInteger,
        bytes: (value: unknown) => value instanceof Uint8Array,
    })),
    busy: isOptional(isBoolean),
});
const isReply = isShaped({
    mark: isShaped(markShape),
    news: isListOf(isFact),
    routers: isListOf(isAddress),
    report: isShaped(reportShape),
    number: isNonNegativeInteger,
});

/** Reads a message of the topic; `undefined` if it is malformed. */
export function readFleetMessage(body: unknown): FleetMessage | undefined {
    switch ((body as FleetMessage | undefined)?.kind) {
        case FleetMessageKind.Sync:
            return isSync(body) ? body as SyncCall : undefined;
        case FleetMessageKind.Facts:
            return isFactsMessage(body) ? body as FactsMessage : undefined;
        case FleetMessageKind.Replica:
            return isReplicaMessage(body) ? body as ReplicaMessage : undefined;
        case FleetMessageKind.FetchConfiguration:
            return isFetch(body) ? body as FetchConfigurationCall : undefined;
        case FleetMessageKind.Permit:
            return isPermit(body) ? body as PermitCall : undefined;
        case FleetMessageKind.Tokens:
            return isTokens(body) ? body as TokenCall : undefined;
        default:
            return undefined;
    }
}

/** Reads the answer to a {@link SyncCall}; `undefined` if it is malformed. */
export function readSyncReply(body: unknown): SyncReply | undefined {
    return isReply(body) ? body as SyncReply : undefined;
}

/** Reads the answer to a {@link PermitCall}; `undefined` if it is malformed. */
export function readPermitReply(body: unknown): PermitReply | undefined {
    return isPermitReply(body) ? body as PermitReply : undefined;
}

/** Reads the answer to a {@link TokenCall}; `undefined` if it is malformed. */
export function readTokenReply(body: unknown): TokenReply | undefined {
    return isTokenReply(body) ? body as TokenReply : undefined;
}

/** Reads the answer to a {@link FetchConfigurationCall}; `undefined` if it is malformed. */
export function readConfigurationReply(body: unknown): ConfigurationReply | undefined {
    return isConfigurationReply(body) ? body as ConfigurationReply : undefined;
}

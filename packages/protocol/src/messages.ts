/**
 * Messages of the inner protocol between routers, agents and the operator's command. Every message is one CBOR map in
 * one frame. Unknown fields are ignored and unknown kinds are answered with {@link MessageKind.Unsupported}, so that
 * two versions can run side by side. Properties and enum values are encoded under their names.
 *
 * @module
 */
import type { RefusalReason } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";

/** Protocol version of this build. A peer is accepted if its version is at least {@link oldestProtocolVersion}. */
export const protocolVersion = 1;

/** Oldest protocol version that this build supports. */
export const oldestProtocolVersion = 1;

/** Roles of processes on the inner network. */
export enum ProcessRole {
    Router = "router",
    Agent = "agent",
    /** The operator's command. */
    Operator = "operator",
}

/** Kinds of messages. */
export enum MessageKind {
    Hello = "hello",
    Open = "open",
    Body = "body",
    Cancel = "cancel",
    Credit = "credit",
    Decline = "decline",
    Head = "head",
    Chunk = "chunk",
    End = "end",
    Failed = "failed",
    Status = "status",
    Topic = "topic",
    TopicReply = "topicReply",
    Unsupported = "unsupported",
}

/** The first message that each end of a connection sends. */
export interface Hello {
    readonly kind: MessageKind.Hello;
    /** The sender's {@link protocolVersion}. */
    readonly version: number;
    readonly role: ProcessRole;
    /** Name of the sender's instance, from its settings. */
    readonly instance: string;
    /** Unique for each start of the sender's process. */
    readonly incarnation: string;
    /** Revision of the configuration in force at the sender; 0 for none. */
    readonly revision: number;
}

/** Opens an exchange for one attempt at a request. Sent by a router; the body follows in {@link Body} messages. */
export interface Open {
    readonly kind: MessageKind.Open;
    /** Number of the exchange, assigned by the router and never reused on the same connection. */
    readonly exchange: number;
    /** Identifier of the request, the same in all its attempts. */
    readonly request: string;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    /** Revision of the configuration in force at the router. */
    readonly revision: number;
    /** Name of the route. */
    readonly route: string;
    /** Name of the client account; absent on open routes without a key. */
    readonly account?: string;
    readonly priority: RoutePriority;
    /** Maximum number of tokens that the request is expected to cost. */
    readonly tokens: number;
    /** Time until the request's deadline, counted from the receipt of this message. */
    readonly deadlineMilliseconds: number;
    /** True if the request may run more than once. */
    readonly idempotent: boolean;
    readonly method: string;
    /** Path and query at the endpoint. */
    readonly path: string;
    readonly headers: readonly HeaderField[];
    /** Total size of the body. */
    readonly bodyBytes: number;
    /** Weights that must serve the request; present on model routes. */
    readonly weights?: WeightsReference;
    /** Digests of the prompt's nested prefix blocks, from the shortest prefix to the longest. */
    readonly prefixBlocks: readonly string[];
    /** Digest of client account and body, which identifies requests that crash endpoints. */
    readonly fingerprint: string;
    /** True if the request is suspected of crashing endpoints and must run in isolation. */
    readonly apart?: boolean;
    /** W3C trace context of the attempt. */
    readonly traceparent: string;
}

/** Weights that serve requests: a version of a model, with or without an adapter. */
export interface WeightsReference {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/** An HTTP header field; its name is in lower case. */
export interface HeaderField {
    readonly name: string;
    readonly value: string;
}

/** Part of a request's body, of at most {@link bodyPartBytes}. Sent by a router. */
export interface Body {
    readonly kind: MessageKind.Body;
    readonly exchange: number;
    readonly data: Uint8Array;
}

/** Cancels an exchange whose answer is no longer needed. Sent by a router. */
export interface Cancel {
    readonly kind: MessageKind.Cancel;
    readonly exchange: number;
}

/** Allows the agent to send more of the answer. Sent by a router. */
export interface Credit {
    readonly kind: MessageKind.Credit;
    readonly exchange: number;
    /** Additional bytes of the answer's body. */
    readonly bytes: number;
}

/** Why an agent did not run a request. */
export enum DeclineReason {
    Draining = "draining",
    QueueFull = "queueFull",
    /** The endpoint does not serve the requested weights. */
    WrongWeights = "wrongWeights",
    EndpointDown = "endpointDown",
    DeadlineExceeded = "deadlineExceeded",
    /** The agent has accepted this request before. */
    Duplicate = "duplicate",
    /** The request has crashed the endpoint in isolation. */
    Quarantined = "quarantined",
    /** Not sent by this version; a router retries the request at another endpoint. */
    Suspect = "suspect",
    /** The body does not have the announced size, or exceeds the limit, or was cancelled before it was complete. */
    Malformed = "malformed",
}

/** Declines a request: it did not run and will not run at this endpoint. Sent by an agent. */
export interface Decline {
    readonly kind: MessageKind.Decline;
    readonly exchange: number;
    readonly reason: DeclineReason;
    readonly status: EndpointStatus;
}

/** Status and headers of the endpoint's answer. Sent by an agent. */
export interface Head {
    readonly kind: MessageKind.Head;
    readonly exchange: number;
    /** HTTP status code. */
    readonly status: number;
    readonly headers: readonly HeaderField[];
    /** Number of the request's prefix blocks that the endpoint's cache was estimated to hold at dispatch. */
    readonly hitBlocks: number;
}

/** Part of the answer's body. Sent by an agent. */
export interface Chunk {
    readonly kind: MessageKind.Chunk;
    readonly exchange: number;
    /** Consecutive number of the chunk in the answer, from 0. */
    readonly sequence: number;
    readonly data: Uint8Array;
}

/** Completes the answer. Sent by an agent. */
export interface End {
    readonly kind: MessageKind.End;
    readonly exchange: number;
    /** Number of chunks that were sent for the answer. */
    readonly chunks: number;
    readonly status: EndpointStatus;
}

/** Ends an exchange that failed. Sent by an agent. */
export interface Failed {
    readonly kind: MessageKind.Failed;
    readonly exchange: number;
    /** False only if the endpoint certainly did not run the request. */
    readonly mayHaveRun: boolean;
    readonly reason: RefusalReason;
    /** Description of the failure. */
    readonly message: string;
    readonly status: EndpointStatus;
}

/** Status of an agent's endpoint. It is included in the last message of each exchange, and sent alone on changes. */
export interface EndpointStatus {
    /** Instance of the agent. */
    readonly instance: string;
    /** Name of the endpoint's pool. */
    readonly pool: string;
    /** Unique for each start of the endpoint; absent while it is down. */
    readonly incarnation?: string;
    /** True while the agent accepts no new requests. */
    readonly draining: boolean;
    /** Weights that the endpoint can serve now. */
    readonly weights: readonly WeightsReference[];
    /** Expected cost of the requests in the agent's queue, in tokens. */
    readonly queuedTokens: number;
    /** Number of requests that are running at the endpoint. */
    readonly running: number;
    /** Recent throughput of the endpoint, in tokens per second. Agents of this version always send 0. */
    readonly tokensPerSecond: number;
    /**
     * Prefixes that the endpoint has cached or is computing, most recently used first, as the first 32 bits of their
     * block digests. The list is limited in length, and absent if the agent does not track prefixes.
     */
    readonly heldPrefixes?: readonly number[];
}

/** An endpoint's status outside of exchanges. Sent by an agent. */
export interface Status {
    readonly kind: MessageKind.Status;
    /** Revision of the configuration in force at the sender; 0 for none. */
    readonly revision: number;
    readonly status: EndpointStatus;
}

/** Subjects of messages between processes other than requests. A process has at most one handler for each topic. */
export enum Topic {
    Configuration = "configuration",
    Membership = "membership",
    Rates = "rates",
    Claims = "claims",
    Orders = "orders",
    Quarantine = "quarantine",
    Fleet = "fleet",
    Operator = "operator",
}

/** A message on a topic. The topic's package defines the shape of the body; the topic's handler validates it. */
export interface TopicMessage {
    readonly kind: MessageKind.Topic;
    readonly topic: Topic;
    /** Number of the call, if an answer is expected: the {@link TopicReply} has the same number. */
    readonly call?: number;
    /** Revision of the configuration in force at the sender; 0 for none. */
    readonly revision: number;
    readonly body: unknown;
}

/** The answer to a {@link TopicMessage}. */
export interface TopicReply {
    readonly kind: MessageKind.TopicReply;
    /** Number of the call that is answered. */
    readonly call: number;
    /** Revision of the configuration in force at the sender; 0 for none. */
    readonly revision: number;
    readonly body: unknown;
}

/** Answers a message whose kind the receiver does not know. */
export interface Unsupported {
    readonly kind: MessageKind.Unsupported;
    /** The unknown kind. */
    readonly unsupportedKind: string;
}

/** Every message of the inner protocol. */
export type Message =
    | Hello
    | Open
    | Body
    | Cancel
    | Credit
    | Decline
    | Head
    | Chunk
    | End
    | Failed
    | Status
    | TopicMessage
    | TopicReply
    | Unsupported;

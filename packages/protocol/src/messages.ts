/**
 * Messages of the inner protocol. Every message is one CBOR map in one frame; unknown fields are ignored, unknown
 * kinds are answered with {@link MessageKind.Unsupported}, so that two versions can run side by side.
 *
 * @module
 */
import type { RefusalReason } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";

/** Version that a process speaks; a peer is accepted while its version is at least {@link oldestProtocolVersion}. */
export const protocolVersion = 1;

/** Oldest version that this build still speaks. */
export const oldestProtocolVersion = 1;

/** What a process is. */
export enum ProcessRole {
    Router = "router",
    Agent = "agent",
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

/** First message of both ends of a connection. */
export interface Hello {
    readonly kind: MessageKind.Hello;
    readonly version: number;
    readonly role: ProcessRole;
    /** Name of the instance from its settings. */
    readonly instance: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    /** Revision of the configuration in force at the sender; 0 for none. */
    readonly revision: number;
}

/** Opens one attempt at a request. Its body follows in {@link Body} messages. */
export interface Open {
    readonly kind: MessageKind.Open;
    /** Number of the exchange on this connection, chosen by the router, never used twice. */
    readonly exchange: number;
    /** Request identifier, the same over all attempts. */
    readonly request: string;
    /** Attempt at the request, from 1. */
    readonly attempt: number;
    readonly revision: number;
    readonly route: string;
    /** Name of the account; absent on open routes without a key. */
    readonly account?: string;
    readonly priority: RoutePriority;
    /** Tokens that the request is expected to cost at most. */
    readonly tokens: number;
    /** Milliseconds left until the caller gives up, counted from receipt. */
    readonly deadlineMilliseconds: number;
    /** True where the call may run again elsewhere. */
    readonly idempotent: boolean;
    readonly method: string;
    /** Path and query at the endpoint. */
    readonly path: string;
    readonly headers: readonly HeaderField[];
    readonly bodyBytes: number;
    /** Weights that must serve the request, for model routes. */
    readonly weights?: WeightsReference;
    /** Digests of the prompt's nested prefix blocks, outermost first. */
    readonly prefixBlocks: readonly string[];
    /** Digest of account and body, by which a request that crashes endpoints is known. */
    readonly fingerprint: string;
    /** True where the request is suspected of crashing endpoints and must run alone. */
    readonly apart?: boolean;
    /** W3C trace context of the attempt. */
    readonly traceparent: string;
}

/** A model, its version and adapter. */
export interface WeightsReference {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/** One HTTP header field, name in lower case. */
export interface HeaderField {
    readonly name: string;
    readonly value: string;
}

/** Part of a request's body. */
export interface Body {
    readonly kind: MessageKind.Body;
    readonly exchange: number;
    readonly data: Uint8Array;
}

/** The router has no further use for the exchange. */
export interface Cancel {
    readonly kind: MessageKind.Cancel;
    readonly exchange: number;
}

/** Allows the agent to send `bytes` more of the answer. */
export interface Credit {
    readonly kind: MessageKind.Credit;
    readonly exchange: number;
    readonly bytes: number;
}

/** Why an agent did not run a request. */
export enum DeclineReason {
    Draining = "draining",
    QueueFull = "queueFull",
    WrongWeights = "wrongWeights",
    EndpointDown = "endpointDown",
    DeadlineExceeded = "deadlineExceeded",
    Duplicate = "duplicate",
    Quarantined = "quarantined",
    Suspect = "suspect",
    Malformed = "malformed",
}

/** The request did not run and will not run here. */
export interface Decline {
    readonly kind: MessageKind.Decline;
    readonly exchange: number;
    readonly reason: DeclineReason;
    readonly status: EndpointStatus;
}

/** Status and headers of the endpoint's answer. */
export interface Head {
    readonly kind: MessageKind.Head;
    readonly exchange: number;
    readonly status: number;
    readonly headers: readonly HeaderField[];
    /** Prefix blocks that the endpoint held when the request was dispatched. */
    readonly hitBlocks: number;
}

/** Part of the answer's body. */
export interface Chunk {
    readonly kind: MessageKind.Chunk;
    readonly exchange: number;
    /** Position in the answer, from 0, without gaps. */
    readonly sequence: number;
    readonly data: Uint8Array;
}

/** The answer is complete. */
export interface End {
    readonly kind: MessageKind.End;
    readonly exchange: number;
    /** Number of chunks that were sent. */
    readonly chunks: number;
    readonly status: EndpointStatus;
}

/** The exchange broke off. */
export interface Failed {
    readonly kind: MessageKind.Failed;
    readonly exchange: number;
    /** False only where it is certain that the endpoint did not run the request. */
    readonly mayHaveRun: boolean;
    readonly reason: RefusalReason;
    readonly message: string;
    readonly status: EndpointStatus;
}

/** What an agent knows of its endpoint; rides on answers, and alone when it changes. */
export interface EndpointStatus {
    readonly instance: string;
    /** Name of the pool that the endpoint belongs to. */
    readonly pool: string;
    /** Differs after each start of the endpoint; absent while it is down. */
    readonly incarnation?: string;
    readonly draining: boolean;
    /** Versions that the endpoint can serve now. */
    readonly weights: readonly WeightsReference[];
    /** Tokens that wait in the agent's queue. */
    readonly queuedTokens: number;
    /** Requests that run at the endpoint. */
    readonly running: number;
    /** Tokens a second that the endpoint has lately served. */
    readonly tokensPerSecond: number;
    /**
     * Prefixes that the endpoint holds or is computing, most recently used first, as the first 32 bits of their
     * block names; a bounded summary, absent where the agent keeps none.
     */
    readonly heldPrefixes?: readonly number[];
}

/** An endpoint's status outside any exchange. */
export interface Status {
    readonly kind: MessageKind.Status;
    readonly revision: number;
    readonly status: EndpointStatus;
}

/** Subjects on which instances talk beside requests. Each has one handler a process. */
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

/** A message on a topic; the body's shape is defined by the topic's package and checked by its handler. */
export interface TopicMessage {
    readonly kind: MessageKind.Topic;
    readonly topic: Topic;
    /** Present where an answer is expected: a {@link TopicReply} with the same number. */
    readonly call?: number;
    readonly revision: number;
    readonly body: unknown;
}

/** The answer to a {@link TopicMessage}. */
export interface TopicReply {
    readonly kind: MessageKind.TopicReply;
    readonly call: number;
    readonly revision: number;
    readonly body: unknown;
}

/** Answers a message whose kind the receiver does not know. */
export interface Unsupported {
    readonly kind: MessageKind.Unsupported;
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

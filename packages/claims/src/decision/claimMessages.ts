/**
 * Bodies of messages on the claims topic. A router forwards its calls to the router that writes their shard, so that
 * one write commits the calls of many routers. The choice of the writer affects the number of writes only: any process
 * may write a shard, and the compare-and-swap decides.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { PendingOutcome } from "./batch.js";
import type { CallIdentity, ClaimDecision } from "./claimCall.js";
import { ClaimRecordKind } from "./segment.js";

/** Kinds of messages on the claims topic. */
export enum ClaimMessageKind {
    Begin = "begin",
    Decided = "decided",
    Conclude = "conclude",
    Acknowledge = "acknowledge",
}

/** Requests a claim. Sent to the shard's writer, which answers with {@link ClaimDecided}. */
export interface ClaimBegin {
    readonly kind: ClaimMessageKind.Begin;
    readonly identity: CallIdentity;
    /** Identifies the claim. The sender uses the same token if it asks again or writes the claim itself. */
    readonly token: string;
    /** Time for which the sender waits for the decision. */
    readonly timeout: Milliseconds;
}

/** The decision on a call; the answer to {@link ClaimBegin}. */
export interface ClaimDecided {
    readonly kind: ClaimMessageKind.Decided;
    readonly decision: ClaimDecision;
}

/** Reports the outcome of a claim. Sent to the shard's writer, which answers with {@link ClaimAcknowledge}. */
export interface ClaimConclude {
    readonly kind: ClaimMessageKind.Conclude;
    readonly shard: number;
    readonly outcome: PendingOutcome;
}

/** Confirms the receipt of a {@link ClaimConclude}. */
export interface ClaimAcknowledge {
    readonly kind: ClaimMessageKind.Acknowledge;
}

/** A message to a shard's writer. */
export type ClaimRequest = ClaimBegin | ClaimConclude;

/** An answer of a shard's writer. */
export type ClaimReply = ClaimDecided | ClaimAcknowledge;

/** True for a well-formed message to a shard's writer; `shards` is the number of shards. */
export function isClaimRequest(body: unknown, shards: number): body is ClaimRequest {
    const message = fieldsOf(body);
    switch (message?.kind) {
        case ClaimMessageKind.Begin:
            return isIdentity(message.identity, shards) && typeof message.token === "string"
                && typeof message.timeout === "number";
        case ClaimMessageKind.Conclude:
            return isShard(message.shard, shards) && isOutcome(message.outcome);
        default:
            return false;
    }
}

/** True for a well-formed answer to {@link ClaimBegin}. */
export function isClaimDecided(body: unknown): body is ClaimDecided {
    const message = fieldsOf(body);
    const decision = fieldsOf(message?.decision);
    return message?.kind === ClaimMessageKind.Decided
        && (decision?.kind === "run" || decision?.kind === "replay" || decision?.kind === "refuse");
}

/** True for the answer to {@link ClaimConclude}. */
export function isAcknowledge(body: unknown): body is ClaimAcknowledge {
    return fieldsOf(body)?.kind === ClaimMessageKind.Acknowledge;
}

type Fields = Readonly<Record<string, unknown>>;

function fieldsOf(body: unknown): Fields | undefined {
    return typeof body === "object" && body ? body as Fields : undefined;
}

function isIdentity(value: unknown, shards: number): boolean {
    const identity = fieldsOf(value);
    return identity !== undefined && isShard(identity.shard, shards) && typeof identity.key === "string"
        && typeof identity.content === "string";
}

function isShard(value: unknown, shards: number): boolean {
    return Number.isInteger(value) && (value as number) >= 0 && (value as number) < shards;
}

function isOutcome(value: unknown): boolean {
    const outcome = fieldsOf(value);
    return outcome !== undefined && typeof outcome.key === "string" && typeof outcome.content === "string"
        && typeof outcome.token === "string" && typeof outcome.kind === "number"
        && outcome.kind in ClaimRecordKind && outcome.kind !== ClaimRecordKind.Claimed;
}

/**
 * Bodies of messages on the claims topic: a router hands its calls to the router that writes their shard, so that
 * one write commits the calls of many routers. Who writes a shard is a matter of economy only: the compare-and-swap
 * decides, whoever writes.
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

/** Asks for a claim. Answered by {@link ClaimDecided}. */
export interface ClaimBegin {
    readonly kind: ClaimMessageKind.Begin;
    readonly identity: CallIdentity;
    /** Names the claim; the same where the asker asks again or goes to the store itself. */
    readonly token: string;
    /** Milliseconds for which the asker waits. */
    readonly timeout: Milliseconds;
}

/** The decision on a call. */
export interface ClaimDecided {
    readonly kind: ClaimMessageKind.Decided;
    readonly decision: ClaimDecision;
}

/** Hands over what became of a claim. Answered by {@link ClaimAcknowledge}. */
export interface ClaimConclude {
    readonly kind: ClaimMessageKind.Conclude;
    readonly shard: number;
    readonly outcome: PendingOutcome;
}

/** Answers a message that needs no other answer. */
export interface ClaimAcknowledge {
    readonly kind: ClaimMessageKind.Acknowledge;
}

/** A message that a writer of shards is sent. */
export type ClaimRequest = ClaimBegin | ClaimConclude;

/** What a writer of shards answers. */
export type ClaimReply = ClaimDecided | ClaimAcknowledge;

/** True for a well-formed message to a writer of shards, of which there are `shards`. */
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

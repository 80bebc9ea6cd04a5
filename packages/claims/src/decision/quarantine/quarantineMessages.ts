/**
 * Bodies of messages on the quarantine topic.
 *
 * @module
 */
import type { Crash, Suspect } from "./suspectTracker.js";

/** Kinds of messages on the quarantine topic. */
export enum QuarantineMessageKind {
    /** Sent by an agent to the routers: the requests that were running when its endpoint crashed. */
    Crash = "crash",
    /** Sent by a router to the other routers: the suspects that it knows. */
    Suspects = "suspects",
    /** Sent by a starting router to the other routers, which answer with {@link QuarantineMessageKind.Suspects}. */
    Inquiry = "inquiry",
}

/** An agent's report of a crash. */
export interface CrashReport {
    readonly kind: QuarantineMessageKind.Crash;
    readonly crash: Crash;
    /** Fingerprints of the requests that were running. */
    readonly fingerprints: readonly string[];
}

/** Suspects that a router knows: all in answer to an inquiry, the changed ones otherwise. */
export interface SuspectReport {
    readonly kind: QuarantineMessageKind.Suspects;
    readonly suspects: readonly Suspect[];
}

/** Requests all suspects that the receiver knows. */
export interface SuspectInquiry {
    readonly kind: QuarantineMessageKind.Inquiry;
}

/** Every message on the quarantine topic. */
export type QuarantineMessage = CrashReport | SuspectReport | SuspectInquiry;

type Fields = Readonly<Record<string, unknown>>;

/** True for a well-formed message. */
export function isQuarantineMessage(body: unknown): body is QuarantineMessage {
    const message = fieldsOf(body);
    switch (message?.kind) {
        case QuarantineMessageKind.Crash:
            return isCrash(message.crash) && isTextList(message.fingerprints);
        case QuarantineMessageKind.Suspects:
            return isSuspects(message.suspects);
        case QuarantineMessageKind.Inquiry:
            return true;
        default:
            return false;
    }
}

/** True for a well-formed list of suspects. */
export function isSuspects(value: unknown): value is readonly Suspect[] {
    return Array.isArray(value) && value.every((item) => {
        const suspect = fieldsOf(item);
        return typeof suspect?.fingerprint === "string" && isTextList(suspect.cleared)
            && Array.isArray(suspect.crashes) && suspect.crashes.length > 0 && suspect.crashes.every(isCrash);
    });
}

function isCrash(value: unknown): boolean {
    const crash = fieldsOf(value);
    return typeof crash?.id === "string" && typeof crash.at === "number";
}

function isTextList(value: unknown): boolean {
    return Array.isArray(value) && value.every((item) => typeof item === "string");
}

function fieldsOf(value: unknown): Fields | undefined {
    return typeof value === "object" && value ? value as Fields : undefined;
}

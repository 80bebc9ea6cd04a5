/**
 * Bodies of messages on the quarantine topic.
 *
 * @module
 */
import type { Crash, Suspect } from "./suspectTracker.js";

/** Kinds of messages on the quarantine topic. */
export enum QuarantineMessageKind {
    /** An agent tells the routers of the requests that ran when its endpoint crashed. */
    Crash = "crash",
    /** A router tells the other routers what it knows. */
    Suspects = "suspects",
    /** A router that starts asks another what it knows; answered by suspects. */
    Inquiry = "inquiry",
}

/** Report of a crash. */
export interface CrashReport {
    readonly kind: QuarantineMessageKind.Crash;
    readonly crash: Crash;
    readonly fingerprints: readonly string[];
}

/** What a router knows. */
export interface SuspectReport {
    readonly kind: QuarantineMessageKind.Suspects;
    readonly suspects: readonly Suspect[];
}

/** Asks a router what it knows. */
export interface SuspectInquiry {
    readonly kind: QuarantineMessageKind.Inquiry;
}

/** Every message on the topic. */
export type QuarantineMessage = CrashReport | SuspectReport | SuspectInquiry;

type Fields = Readonly<Record<string, unknown>>;

/** True for a well-formed message. */
export function isQuarantineMessage(body: unknown): body is QuarantineMessage {
    const message = fieldsOf(body);
    switch (message?.kind) {
        case QuarantineMessageKind.Crash:
            return isCrash(message.crash) && isTexts(message.fingerprints);
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
        return typeof suspect?.fingerprint === "string" && isTexts(suspect.cleared)
            && Array.isArray(suspect.crashes) && suspect.crashes.length > 0 && suspect.crashes.every(isCrash);
    });
}

function isCrash(value: unknown): boolean {
    const crash = fieldsOf(value);
    return typeof crash?.id === "string" && typeof crash.at === "number";
}

function isTexts(value: unknown): boolean {
    return Array.isArray(value) && value.every((item) => typeof item === "string");
}

function fieldsOf(value: unknown): Fields | undefined {
    return typeof value === "object" && value ? value as Fields : undefined;
}

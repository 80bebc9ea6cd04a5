/**
 * Finds out which requests crash endpoints, and refuses them for a time. The cause may be one request that is sent again
 * and again, or a part that many requests have in common.
 *
 * A request is a suspect if its endpoint crashed before the answer was complete. A cause is quarantined once the evidence
 * against it is conclusive (crashEvidence.ts); a part is released if an endpoint survives a request with it after all.
 * Routers share suspects and survived parts, so that all of them come to the same conclusion.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AnsweredPart, CrashReport, CrashSuspect, QuarantinedCause } from "../fleetMessages.js";
import {
    causesOf,
    collectEvidence,
    compareLikelihood,
    type CrashCause,
    type InterruptedRequest,
    keyOf,
    type Suspect,
    unexplainedSuspects,
} from "./crashEvidence.js";

/** A suspect expires this long after its crash. */
const suspectLifetime: Milliseconds = 60_000;

/** A cause is quarantined until this long after its last crash. */
export const quarantineDuration: Milliseconds = 300_000;

const maxSuspects = 300;
const maxQuarantines = 1_000;
const maxSurvivedParts = 4_000;
const maxRememberedPeers = 2_000;

/** Maximum number of entries of each kind in one report; the others follow in the next one. */
const maxReportedEntries = 50;

interface Quarantine {
    readonly cause: CrashCause;
    readonly firstCrashAt: Milliseconds;
    lastCrashAt: Milliseconds;
    readonly change: number;
}

/** When an endpoint was last known to have survived a request with a part. */
interface Survival {
    readonly at: Milliseconds;
    /** True if this router has received the answer itself. */
    readonly isOwn: boolean;
    /** Number of the change; absent if peers need not know. */
    change?: number;
}

/** Suspects and quarantines as known to one router, or to an agent that keeps them for routers that start. */
export class CrashTracker {
    private suspects: Suspect[] = [];
    private readonly quarantines = new Map<string, Quarantine>();
    /** Parts that endpoints have survived; the latest come last. */
    private readonly survivedParts = new Map<string, Survival>();
    /** When the suspects that were answered after all were answered last. */
    private readonly completedRequests = new Map<string, Milliseconds>();
    /** Number of the last change that was delivered to each incarnation of a peer. */
    private readonly delivered = new Map<string, number>();
    private changes = 0;
    private lastChangeAt: Milliseconds = -Infinity;

    constructor(private readonly onQuarantined: (cause: CrashCause) => void = () => {}) {}

    /** True if there was a change for peers within the given time. */
    hasChangedWithin(duration: Milliseconds, now: Milliseconds): boolean {
        return now - this.lastChangeAt <= duration;
    }

    /** Records that an endpoint crashed before its answer to a request was complete. */
    recordCrash(request: InterruptedRequest, now: Milliseconds): void {
        this.addSuspects([{ ...request, crashedAt: now, change: this.nextChange(now) }], now);
    }

    /** Records that the answer to a request is complete. */
    recordCompletion(fingerprint: string, parts: readonly string[], now: Milliseconds): void {
        if (this.suspects.some((suspect) => suspect.fingerprint === fingerprint)) {
            this.completedRequests.set(fingerprint, now);
        }
        this.recordSurvival(parts, now);
    }

    /** Records that an endpoint has survived a request with the parts for {@link survivalTime} after its first event. */
    recordSurvival(parts: readonly string[], now: Milliseconds): void {
        for (const part of parts) {
            const previous = this.survivedParts.get(part);
            const survival: Survival = { at: now, isOwn: true, change: previous?.change };
            if (this.isSuspectSince(part, previous?.at ?? -Infinity)) {
                survival.change = this.nextChange(now);
            }
            this.setSurvival(part, survival);
        }
        this.liftQuarantines(parts, now);
    }

    /** Time until which a request is refused; `undefined` if it is not. */
    refusedUntil(fingerprint: string, parts: readonly string[], now: Milliseconds): Milliseconds | undefined {
        if (this.quarantines.size === 0) {
            return undefined;
        }
        const ends = causesOf(fingerprint, parts).flatMap((cause) => {
            const quarantine = this.quarantineOf(cause, now);
            return quarantine === undefined ? [] : [quarantine.lastCrashAt + quarantineDuration];
        });
        return ends.length === 0 ? undefined : Math.max(...ends);
    }

    /** The changes that were not delivered to a peer's incarnation yet; `undefined` if there are none. */
    reportFor(peer: string | undefined, now: Milliseconds): CrashReport | undefined {
        const delivered = peer === undefined ? 0 : this.delivered.get(peer) ?? 0;
        if (delivered >= this.changes) {
            return undefined;
        }
        this.expire(now);
        const isNew = ({ change }: { readonly change?: number; }) =>
            change !== undefined && change > delivered;
        const suspects = this.suspects.filter(isNew).slice(0, maxReportedEntries);
        const survived = [...this.survivedParts]
            .filter(([, entry]) => isNew(entry) && now - entry.at < quarantineDuration)
            .sort(([, left], [, right]) => left.change! - right.change!)
            .slice(0, maxReportedEntries);
        const quarantined = [...this.quarantines.values()].filter(isNew).slice(0, maxReportedEntries);
        const isFull = [suspects, survived, quarantined].some((list) => list.length === maxReportedEntries);
        return {
            suspects: suspects.map((suspect) => ({
                request: suspect.fingerprint,
                parts: suspect.parts,
                endpoint: suspect.endpoint,
                sentAge: now - suspect.sentAt,
                crashAge: now - suspect.crashedAt,
                hasSurvived: suspect.hasSurvived,
            })),
            answered: survived.map(([part, { at }]) => ({ part, age: now - at })),
            quarantined: quarantined.map(({ cause, firstCrashAt, lastCrashAt }) => ({
                ...cause,
                firstCrashAge: now - firstCrashAt,
                lastCrashAge: now - lastCrashAt,
            })),
            lastChange: isFull
                ? lastCompleteChange(suspects, survived.map(([, entry]) => entry), quarantined)
                : this.changes,
        };
    }

    /** Records that a report was delivered to a peer's incarnation. */
    recordDelivery(peer: string, { lastChange }: CrashReport): void {
        this.delivered.delete(peer);
        this.delivered.set(peer, lastChange);
        dropOldest(this.delivered, maxRememberedPeers);
    }

    /** Applies a peer's report. */
    observe({ answered, quarantined, suspects }: CrashReport, now: Milliseconds): void {
        answered.forEach((entry) => this.observeSurvival(entry, now));
        quarantined.forEach((entry) => this.observeQuarantined(entry, now));
        this.addSuspects(suspects.map((suspect) => readSuspect(suspect, now)), now);
    }

    private observeSurvival({ age, part }: AnsweredPart, now: Milliseconds): void {
        const at = now - age;
        const known = this.survivedParts.get(part);
        if (known === undefined || known.at < at) {
            this.setSurvival(part, { at, isOwn: known?.isOwn ?? false, change: known?.change });
            this.liftQuarantines([part], now);
        }
    }

    /** Adopts a peer's quarantine, unless this router knows of an endpoint that has survived the part. */
    private observeQuarantined(entry: QuarantinedCause, now: Milliseconds): void {
        const cause: CrashCause = { kind: entry.kind === "part" ? "part" : "request", name: entry.name };
        const known = this.quarantines.get(keyOf(cause));
        const lastCrashAt = now - entry.lastCrashAge;
        if (known !== undefined) {
            known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt);
        }
        else if (this.survivedAt(cause) === -Infinity) {
            this.quarantine(cause, now - entry.firstCrashAge, lastCrashAt, now);
        }
    }

    private addSuspects(added: readonly Suspect[], now: Milliseconds): void {
        if (added.length === 0) {
            return;
        }
        this.expire(now);
        this.suspects = dropLeastConclusive([...this.suspects, ...added]);
        for (const { crashedAt, fingerprint, parts } of added) {
            for (const cause of causesOf(fingerprint, parts)) {
                const quarantine = this.quarantineOf(cause, now);
                if (quarantine !== undefined) {
                    quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, crashedAt);
                }
            }
            // Peers may not know that endpoints have survived these parts before.
            for (const part of parts) {
                const survival = this.survivedParts.get(part);
                if (survival?.isOwn === true) {
                    survival.change ??= this.nextChange(now);
                }
            }
        }
        this.assess(added, now);
    }

    /** Quarantines the causes of the suspects whose evidence is conclusive, the most likely one first. */
    private assess(suspects: readonly Suspect[], now: Milliseconds): void {
        const causes = new Map(
            suspects.flatMap(({ fingerprint, parts }) => causesOf(fingerprint, parts))
                .map((cause) => [keyOf(cause), cause]),
        );
        for (;;) {
            const unexplained = unexplainedSuspects(
                this.suspects,
                (name) => this.quarantineOf({ kind: "part", name }, now) !== undefined,
            );
            const conclusive = [...causes.values()]
                .filter((cause) => this.quarantineOf(cause, now) === undefined)
                .map((cause) => collectEvidence(cause, unexplained, this.survivedAt(cause)))
                .filter((evidence) => evidence.isConclusive)
                .sort(compareLikelihood);
            if (conclusive.length === 0) {
                return;
            }
            const { cause, firstCrashAt, lastCrashAt } = conclusive[0];
            this.quarantine(cause, firstCrashAt, lastCrashAt, now);
        }
    }

    private quarantine(
        cause: CrashCause,
        firstCrashAt: Milliseconds,
        lastCrashAt: Milliseconds,
        now: Milliseconds,
    ): void {
        if (now - lastCrashAt >= quarantineDuration) {
            return;
        }
        const change = this.nextChange(now);
        this.quarantines.set(keyOf(cause), { cause, firstCrashAt, lastCrashAt, change });
        dropOldest(this.quarantines, maxQuarantines);
        this.onQuarantined(cause);
    }

    /** Ends the quarantine of parts that an endpoint has survived, and looks for another cause of the crashes. */
    private liftQuarantines(parts: readonly string[], now: Milliseconds): void {
        if (this.quarantines.size === 0) {
            return;
        }
        for (const name of parts) {
            const cause: CrashCause = { kind: "part", name };
            const quarantine = this.quarantines.get(keyOf(cause));
            if (quarantine !== undefined && this.survivedAt(cause) > quarantine.firstCrashAt) {
                this.quarantines.delete(keyOf(cause));
                this.assess(this.suspects, now);
            }
        }
    }

    private quarantineOf(cause: CrashCause, now: Milliseconds): Quarantine | undefined {
        const quarantine = this.quarantines.get(keyOf(cause));
        return quarantine !== undefined && now - quarantine.lastCrashAt < quarantineDuration
            ? quarantine
            : undefined;
    }

    private survivedAt(cause: CrashCause): Milliseconds {
        const at = cause.kind === "part"
            ? this.survivedParts.get(cause.name)?.at
            : this.completedRequests.get(cause.name);
        return at ?? -Infinity;
    }

    private setSurvival(part: string, survival: Survival): void {
        this.survivedParts.delete(part);
        this.survivedParts.set(part, survival);
        dropOldest(this.survivedParts, maxSurvivedParts);
    }

    /** True if an endpoint crashed under a request with the part at or after the given time. */
    private isSuspectSince(part: string, since: Milliseconds): boolean {
        return this.suspects.some((suspect) => suspect.crashedAt >= since && suspect.parts.includes(part))
            || this.quarantines.has(keyOf({ kind: "part", name: part }));
    }

    private nextChange(now: Milliseconds): number {
        this.lastChangeAt = now;
        this.changes += 1;
        return this.changes;
    }

    private expire(now: Milliseconds): void {
        if (this.suspects.some((suspect) => now - suspect.crashedAt > suspectLifetime)) {
            this.suspects = this.suspects.filter((suspect) => now - suspect.crashedAt <= suspectLifetime);
            const fingerprints = new Set(this.suspects.map((suspect) => suspect.fingerprint));
            for (const fingerprint of this.completedRequests.keys()) {
                if (!fingerprints.has(fingerprint)) {
                    this.completedRequests.delete(fingerprint);
                }
            }
        }
        for (const [key, quarantine] of this.quarantines) {
            if (now - quarantine.lastCrashAt >= quarantineDuration) {
                this.quarantines.delete(key);
            }
        }
    }
}

/** Number up to which the lists contain all changes, if some of them were shortened. */
function lastCompleteChange(...lists: readonly (readonly { readonly change?: number; }[])[]): number {
    const lastOfFull = lists.filter((list) => list.length === maxReportedEntries).map((list) =>
        Math.max(...list.map(({ change }) => change ?? 0))
    );
    return Math.min(...lastOfFull);
}

function readSuspect(suspect: CrashSuspect, now: Milliseconds): Suspect {
    return {
        fingerprint: suspect.request,
        parts: suspect.parts,
        endpoint: suspect.endpoint,
        sentAt: now - suspect.sentAge,
        crashedAt: now - suspect.crashAge,
        hasSurvived: suspect.hasSurvived ?? false,
    };
}

/** Drops suspects beyond the maximum number: first the oldest ones whose answers had lasted, then the oldest ones. */
function dropLeastConclusive(suspects: readonly Suspect[]): Suspect[] {
    let excess = suspects.length - maxSuspects;
    const kept = suspects.filter((suspect) => !suspect.hasSurvived || excess-- <= 0);
    return kept.slice(-maxSuspects);
}

function dropOldest<T>(map: Map<string, T>, maxSize: number): void {
    while (map.size > maxSize) {
        map.delete(map.keys().next().value!);
    }
}

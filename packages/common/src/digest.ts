/**
 * Digests and rendezvous hashing, over SHA-256 of `node:crypto`.
 *
 * @module
 */
import { pipe } from "fp-ts/lib/function.js";
import { Ord as numberOrd } from "fp-ts/lib/number.js";
import { contramap, reverse } from "fp-ts/lib/Ord.js";
import { map, sort, toArray } from "fp-ts/lib/ReadonlyArray.js";
import { createHash } from "node:crypto";

/** SHA-256 of the parts, each preceded by its length so that no two part lists share a digest; 64 hex digits. */
export function digestOf(...parts: readonly (string | Uint8Array)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${part.length}:`);
        hash.update(part);
    }
    return hash.digest("hex");
}

/** Plain SHA-256 of one value as 64 hex digits, the form in which manifests carry caller keys. */
export function sha256Hex(value: string | Uint8Array): string {
    return createHash("sha256").update(value).digest("hex");
}

const scoreBytes = 6;

/** Score of a member for a key, uniform over 48 bits: the member with the highest score owns the key. */
export function rendezvousScore(key: string, member: string): number {
    return createHash("sha256").update(key).update("\0").update(member).digest().readUIntBE(0, scoreBytes);
}

interface ScoredMember<T> {
    readonly member: T;
    readonly score: number;
}

const byFallingScore = pipe(
    numberOrd,
    reverse,
    contramap((scored: ScoredMember<unknown>) => scored.score),
);

/** Members in order of falling score for `key`; a member that joins or leaves moves only its own keys. */
export function rendezvousOrder<T>(key: string, members: readonly T[], nameOf: (member: T) => string): T[] {
    return pipe(
        members,
        map((member): ScoredMember<T> => ({ member, score: rendezvousScore(key, nameOf(member)) })),
        sort(byFallingScore),
        map((scored) => scored.member),
        toArray,
    );
}

/** Keys whose owners {@link RendezvousOwnerCache} remembers before it starts afresh. */
const maxRememberedOwners = 4_096;

/** Remembers which member owns each key until the members change: a score takes microseconds, and callers ask often. */
export class RendezvousOwnerCache {
    private readonly owners = new Map<string, string>();
    private membersOf = "";

    /** The member with the highest score for `key`; `undefined` without members. */
    ownerOf(key: string, members: readonly string[]): string | undefined {
        const all = members.join(",");
        if (all !== this.membersOf || this.owners.size > maxRememberedOwners) {
            this.owners.clear();
            this.membersOf = all;
        }
        const known = this.owners.get(key);
        if (known !== undefined) {
            return known;
        }
        const owner = rendezvousOrder(key, members, (member) => member).at(0);
        if (owner !== undefined) {
            this.owners.set(key, owner);
        }
        return owner;
    }
}

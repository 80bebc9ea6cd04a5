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

/** A value to hash that is stored in several pieces; `length` is that of the whole value. */
export interface PiecewiseValue {
    readonly length: number;
    parts(): readonly Uint8Array[];
}

/**
 * SHA-256 of the parts as 64 hex digits. The length of each part is hashed before it, so that the digest of `"ab"`
 * differs from that of `"a"` and `"b"`.
 */
export function digestOf(...parts: readonly (string | Uint8Array | PiecewiseValue)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${part.length}:`);
        if (typeof part === "string" || part instanceof Uint8Array) {
            hash.update(part);
        }
        else {
            part.parts().forEach((piece) => hash.update(piece));
        }
    }
    return hash.digest("hex");
}

/** SHA-256 of one value as 64 hex digits, the form in which manifests contain the digests of caller keys. */
export function sha256Hex(value: string | Uint8Array): string {
    return createHash("sha256").update(value).digest("hex");
}

const scoreBytes = 6;

/** Score of a member for a key, a uniform 48-bit number. The member with the highest score owns the key. */
export function rendezvousScore(key: string, member: string): number {
    return createHash("sha256").update(key).update("\0").update(member).digest().readUIntBE(0, scoreBytes);
}

interface ScoredMember<T> {
    readonly member: T;
    readonly score: number;
}

const byDescendingScore = pipe(
    numberOrd,
    reverse,
    contramap((scored: ScoredMember<unknown>) => scored.score),
);

/** Sorts members by descending score for `key`. A member that joins or leaves changes the owners of its own keys. */
export function rendezvousOrder<T>(key: string, members: readonly T[], nameOf: (member: T) => string): T[] {
    return pipe(
        members,
        map((member): ScoredMember<T> => ({ member, score: rendezvousScore(key, nameOf(member)) })),
        sort(byDescendingScore),
        map((scored) => scored.member),
        toArray,
    );
}

/** Number of keys beyond which {@link RendezvousOwnerCache} is cleared. */
const maxCachedOwners = 4_096;

/** Caches the order of the owners of each key until the members change: a score takes microseconds, and lookups are frequent. */
export class RendezvousOwnerCache {
    private readonly owners = new Map<string, readonly string[]>();
    private members: readonly string[] = [];
    private joinedMembers = "";

    /** `count` is the maximum number of owners of a key. */
    constructor(private readonly count = 1) {}

    /** The member with the highest score for `key`; `undefined` without members. */
    ownerOf(key: string, members: readonly string[]): string | undefined {
        return this.ownersOf(key, members).at(0);
    }

    /** The members with the highest scores for `key`, in descending order. `members` must not be changed afterwards. */
    ownersOf(key: string, members: readonly string[]): readonly string[] {
        this.setMembers(members);
        const cached = this.owners.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const owners = rendezvousOrder(key, members, (member) => member).slice(0, this.count);
        this.owners.set(key, owners);
        return owners;
    }

    private setMembers(members: readonly string[]): void {
        if (this.owners.size > maxCachedOwners) {
            this.owners.clear();
        }
        if (members === this.members) {
            return;
        }
        this.members = members;
        const joinedMembers = members.join(",");
        if (joinedMembers !== this.joinedMembers) {
            this.owners.clear();
            this.joinedMembers = joinedMembers;
        }
    }
}

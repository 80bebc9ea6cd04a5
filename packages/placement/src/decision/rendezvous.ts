/**
 * Rendezvous hashing for placement. Endpoints and block names are digested once, and a pair is scored by mixing two
 * 32-bit seeds. A cryptographic digest for each of a thousand candidates at each request would cost more than the
 * router's processor budget.
 *
 * @module
 */

/** The 32-bit seed of a hexadecimal name: its first eight digits. */
export function seedOf(hexName: string): number {
    return Number.parseInt(hexName.slice(0, 8), 16) >>> 0;
}

/** Score of a pair of seeds, uniform over 32 bits; mixed like the finalizer of MurmurHash3. */
export function mixScore(keySeed: number, memberSeed: number): number {
    let mixed = Math.imul(keySeed ^ 0x9e3779b9, 0x85ebca6b) ^ memberSeed;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** The `count` members with the highest scores for a key, highest first. */
export function topMembers<T>(
    keySeed: number,
    members: readonly T[],
    seedOfMember: (member: T) => number,
    count: number,
): T[] {
    return members
        .map((member) => ({ member, score: mixScore(keySeed, seedOfMember(member)) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, count)
        .map((scored) => scored.member);
}

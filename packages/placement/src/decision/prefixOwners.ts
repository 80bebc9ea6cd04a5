/**
 * Selects the owners of a prompt's nested levels by rendezvous hashing. The owners of a level are selected among the
 * owners of the next outer level, as many as the level's share of the traffic needs. An outer level is thus cached on
 * few endpoints, and an inner level on endpoints that hold the outer one.
 *
 * @module
 */
import { seedOf, topMembers } from "./rendezvous.js";

/** A level of a prompt: consecutive blocks that are shared by the same prompts. */
export interface PrefixLevel {
    /** Number of blocks from the prompt's start to the end of the level. */
    readonly depth: number;
    /** Name of the level's last block. */
    readonly name: string;
    /** Share of the traffic for the same weights that has this level, from 0 to 1. */
    readonly share: number;
}

/** An endpoint and the number of leading blocks that it owns. */
export interface PrefixOwner<T> {
    readonly member: T;
    readonly depth: number;
}

/** Factor by which a level gets more owners than its share needs, so that uneven hashing doesn't overload them. */
export const ownerCountHeadroom = 1.25;

/** Number of owners of a level with this share of the traffic among `members` endpoints. */
export function ownerCount(share: number, members: number): number {
    return Math.min(members, Math.max(1, Math.ceil(share * members * ownerCountHeadroom)));
}

/**
 * All members, owners of the innermost level first. Each level ranks the owners of the next outer level. Members that
 * own no level come last, in the order of the outermost level, with depth 0.
 */
export function nestedOwners<T>(
    levels: readonly PrefixLevel[],
    members: readonly T[],
    seedOfMember: (member: T) => number,
): PrefixOwner<T>[] {
    let ordered: readonly T[] = members;
    const depths = new Map<T, number>();
    let count = members.length;
    for (const level of levels) {
        const outerOwners = ordered.slice(0, count);
        const rest = ordered.slice(count);
        ordered = [...topMembers(seedOf(level.name), outerOwners, seedOfMember, outerOwners.length), ...rest];
        count = Math.min(count, ownerCount(level.share, members.length));
        ordered.slice(0, count).forEach((member) => depths.set(member, level.depth));
    }
    return ordered.map((member) => ({ member, depth: depths.get(member) ?? 0 }));
}

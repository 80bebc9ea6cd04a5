/**
 * Homes of a prompt: rendezvous hashing on its nested levels. A level's homes are chosen among those of the level
 * around it, as many as its share of the traffic needs, so that an outer level is cached on few endpoints and an
 * inner one where the outer is.
 *
 * @module
 */
import { seedOf, topMembers } from "./rendezvous.js";

/** A level of a prompt: a run of blocks that the same prompts share. */
export interface PrefixLevel {
    /** Blocks from the prompt's start to the end of the level. */
    readonly depth: number;
    /** Name of the level's last block. */
    readonly name: string;
    /** Part of the traffic for the same weights that shares the level, from 0 to 1. */
    readonly share: number;
}

/** An endpoint with the blocks that its place among the homes lets one expect it to hold. */
export interface PrefixOwner<T> {
    readonly member: T;
    readonly depth: number;
}

/** Homes beyond a level's bare share, so that chance does not overload them. */
export const widthSlack = 1.25;

/** Number of homes for a level with this share of the traffic over `members` endpoints. */
export function widthOf(share: number, members: number): number {
    return Math.min(members, Math.max(1, Math.ceil(share * members * widthSlack)));
}

/**
 * All members, innermost homes first. Each level ranks the homes of the level around it; members
 * that are home to none follow, in the order of the outermost level.
 */
export function nestedOwners<T>(
    levels: readonly PrefixLevel[],
    members: readonly T[],
    seedOfMember: (member: T) => number,
): PrefixOwner<T>[] {
    let ordered: readonly T[] = members;
    const depths = new Map<T, number>();
    let width = members.length;
    for (const level of levels) {
        const around = ordered.slice(0, width);
        const rest = ordered.slice(width);
        ordered = [...topMembers(seedOf(level.name), around, seedOfMember, around.length), ...rest];
        width = Math.min(width, widthOf(level.share, members.length));
        ordered.slice(0, width).forEach((member) => depths.set(member, level.depth));
    }
    return ordered.map((member) => ({ member, depth: depths.get(member) ?? 0 }));
}

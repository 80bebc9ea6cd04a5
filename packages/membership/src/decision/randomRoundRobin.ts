/**
 * Random round robin: every member is selected once before any is selected again.
 *
 * @module
 */
import type { RandomSource } from "@redwingpin/common";
import type { MemberEntry } from "@redwingpin/protocol";

/** Selects the members that one process pings. */
export class RandomRoundRobin {
    private round: string[] = [];

    constructor(private readonly random: RandomSource) {}

    /** Selects the next of the given members; `undefined` if there are none. */
    next(members: readonly MemberEntry[]): MemberEntry | undefined {
        const byName = new Map(members.map((member) => [member.instance, member]));
        while (byName.size > 0) {
            if (this.round.length === 0) {
                this.round = [...byName.keys()];
            }
            const [name] = this.round.splice(this.random.integerBelow(this.round.length), 1);
            const member = byName.get(name);
            if (member !== undefined) {
                return member;
            }
        }
        return undefined;
    }
}

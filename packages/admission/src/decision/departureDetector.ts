/**
 * Decides which holders of the roster are gone for good, from the lagging VM list.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { goneAfterMilliseconds } from "../constants.js";
import type { Roster, RouterMember } from "./roster.js";

/** Follows the VM list and the roster. */
export class DepartureDetector {
    /** Time since which each holder is missing from every list that was read. */
    private readonly missingSince = new Map<string, Milliseconds>();

    constructor(private readonly goneAfter: Milliseconds = goneAfterMilliseconds) {}

    /**
     * Takes in one reading of the list and returns the holders that are gone: missing from this list and from every
     * other since they were first missed, at least `goneAfter` ago.
     */
    observe(roster: Roster, members: readonly RouterMember[], now: Milliseconds): ReadonlySet<string> {
        const listed = new Set(members.map((member) => member.instance));
        const holders = new Set(roster.holders.filter((holder) => holder !== undefined));
        for (const name of [...this.missingSince.keys()]) {
            if (listed.has(name) || !holders.has(name)) {
                this.missingSince.delete(name);
            }
        }
        const gone = new Set<string>();
        for (const holder of holders) {
            if (listed.has(holder)) {
                continue;
            }
            const since = this.missingSince.get(holder) ?? now;
            this.missingSince.set(holder, since);
            if (now - since >= this.goneAfter) {
                gone.add(holder);
            }
        }
        return gone;
    }
}

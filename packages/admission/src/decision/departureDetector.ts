/**
 * Detects which holders in the roster have departed, that is, their VM has been removed for good. The VM list lags, so
 * a holder counts as departed only after it has been missing from the list for some time.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { departureDelayMilliseconds } from "../constants.js";
import type { Roster, RouterMember } from "./roster.js";

/** Compares the roster with each version of the VM list that is read. */
export class DepartureDetector {
    /** Time since which each holder has been missing from every list read. */
    private readonly missingSince = new Map<string, Milliseconds>();

    constructor(private readonly departureDelay: Milliseconds = departureDelayMilliseconds) {}

    /**
     * Processes one version of the list and returns the holders that have departed: they are missing from this list
     * and from every other one read since they were first missing, at least `departureDelay` ago.
     */
    observe(roster: Roster, members: readonly RouterMember[], now: Milliseconds): ReadonlySet<string> {
        const listed = new Set(members.map((member) => member.instance));
        const holders = new Set(roster.holders.filter((holder) => holder !== undefined));
        for (const name of [...this.missingSince.keys()]) {
            if (listed.has(name) || !holders.has(name)) {
                this.missingSince.delete(name);
            }
        }
        const departed = new Set<string>();
        for (const holder of holders) {
            if (listed.has(holder)) {
                continue;
            }
            const since = this.missingSince.get(holder) ?? now;
            this.missingSince.set(holder, since);
            if (now - since >= this.departureDelay) {
                departed.add(holder);
            }
        }
        return departed;
    }
}

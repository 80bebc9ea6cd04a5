import type { ClientAccount } from "@redwingpin/manifest";
import { expect } from "chai";
import { DepartureDetector } from "../decision/departureDetector.js";
import { emptyRoster, repairRoster, type Roster, type RouterMember } from "../decision/roster.js";
import { SlotHolder } from "../decision/slotHolder.js";
import { type HeldGrant, isUsable } from "../decision/tokenAcquisition.js";

const hold = 300;
const account: ClientAccount = { name: "office", tokensPerSecond: 3_000, burstTokens: 9_000, keys: [] };
const ownRate = 1_000;

function membersOf(...instances: string[]): RouterMember[] {
    return instances.map((instance) => ({ instance, leaving: false }));
}

function rosterOf(...instances: string[]): Roster {
    return repairRoster(emptyRoster, {
        members: membersOf(...instances),
        departed: new Set(),
        reserveForNewRouters: false,
    })!;
}

function holderOf(now: number, accounts: readonly ClientAccount[] = [account]): SlotHolder {
    const holder = new SlotHolder("a");
    holder.accountsChanged(accounts, now);
    holder.rosterChanged(rosterOf("a", "b", "c"), now);
    return holder;
}

describe("admission: slot holder", () => {
    it("starts empty, and fills only after the grants of an earlier holder have lapsed", () => {
        const holder = holderOf(1_000);
        expect(holder.tokens(account, 1_000 + hold)).to.equal(0);
        expect(holder.tokens(account, 1_000 + hold + 100)).to.equal(ownRate / 10);
    });

    it("holds a third of the account among three routers", () => {
        const holder = holderOf(0);
        expect(holder.tokens(account, 1_000_000)).to.equal(3_000);
    });

    it("grants nothing to a repeated request", () => {
        const holder = holderOf(0);
        expect(holder.grant("x", account, 2_000, 100_000).tokens).to.equal(2_000);
        expect(holder.grant("x", account, 1_000, 100_000).tokens).to.equal(0);
    });

    it("has no tokens once it has released its slots", () => {
        const holder = holderOf(0);
        holder.releaseAll();
        expect(holder.tokens(account, 100_000)).to.equal(0);
        holder.rosterChanged(rosterOf("a", "b", "c"), 100_000);
        holder.accountsChanged([account], 100_000);
        expect(holder.tokens(account, 200_000)).to.equal(0);
    });

    it("starts with empty slots for an account that was removed and added again", () => {
        const holder = holderOf(0);
        holder.accountsChanged([], 100_000);
        holder.accountsChanged([account], 100_000);
        expect(holder.tokens(account, 100_000)).to.equal(0);
        expect(holder.tokens(account, 100_500)).to.equal(ownRate / 2);
    });
});

describe("admission: use of a grant", () => {
    const grant: HeldGrant = {
        holder: "b",
        id: "1",
        tokens: 10,
        usableUntil: 1_250,
        tokensPerSecond: account.tokensPerSecond,
        burstTokens: account.burstTokens,
    };

    it("ends at its deadline", () => {
        expect(isUsable(grant, account, 1_250)).to.equal(true);
        expect(isUsable(grant, account, 1_251)).to.equal(false);
    });

    it("is refused if the holder applied higher limits than those in force here", () => {
        expect(isUsable(grant, { ...account, burstTokens: 8_999 }, 1_000)).to.equal(false);
        expect(isUsable(grant, { ...account, tokensPerSecond: 2_999 }, 1_000)).to.equal(false);
        expect(isUsable(grant, { ...account, burstTokens: 9_001 }, 1_000)).to.equal(true);
    });
});

describe("admission: roster", () => {
    it("distributes neighbouring positions over different routers", () => {
        const { holders } = rosterOf("a", "b", "c", "d");
        for (const [position, holder] of holders.entries()) {
            const next = holders[(position + 1) % holders.length];
            const afterNext = holders[(position + 2) % holders.length];
            const isAtEnd = position >= holders.length - 2;
            expect(isAtEnd || new Set([holder, next, afterNext]).size === 3).to.equal(true);
        }
    });

    it("reassigns the positions of departed routers and no others", () => {
        const before = rosterOf("a", "b", "c");
        const repaired = repairRoster(before, {
            members: membersOf("a", "c", "d"),
            departed: new Set(["b"]),
            reserveForNewRouters: false,
        })!;
        expect(repaired.epoch).to.equal(before.epoch + 1);
        for (const [position, holder] of before.holders.entries()) {
            expect(repaired.holders[position]).to.equal(holder === "b" ? "d" : holder);
        }
    });

    it("reserves positions for routers that start later", () => {
        const roster = repairRoster(emptyRoster, {
            members: membersOf("a"),
            departed: new Set(),
            reserveForNewRouters: true,
        })!;
        expect(roster.holders.filter((holder) => holder === "a")).to.have.length(342);
    });

    it("considers a holder departed only after it was missing for the departure delay", () => {
        const detector = new DepartureDetector(15_000);
        const roster = rosterOf("a", "b", "c");
        const missing = membersOf("a", "c");
        expect(detector.observe(roster, missing, 0).size).to.equal(0);
        expect(detector.observe(roster, missing, 14_999).size).to.equal(0);
        expect([...detector.observe(roster, missing, 15_000)]).to.deep.equal(["b"]);
        expect(detector.observe(roster, membersOf("a", "b", "c"), 16_000).size).to.equal(0);
        expect(detector.observe(roster, missing, 16_001).size).to.equal(0);
    });
});

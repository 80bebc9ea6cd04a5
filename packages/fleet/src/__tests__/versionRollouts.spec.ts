import { expect } from "chai";
import {
    FactKind,
    FleetState,
    storePosition,
    VersionPhase,
    type VersionRolloutNews,
    VersionRollouts,
} from "../index.js";

function news(phase: VersionPhase, more: Partial<VersionRolloutNews> = {}): VersionRolloutNews {
    return {
        service: "s",
        to: "v2",
        duration: 12_000,
        revision: 40,
        age: 100,
        phase,
        isStored: false,
        ...more,
    };
}

describe("orders for other versions of services", () => {
    // Guards against a rejected version that gets requests again because of an old or reordered message.
    it("only advance in phase, whatever the order of messages", () => {
        const rollouts = new VersionRollouts();
        rollouts.apply(news(VersionPhase.RolledBack), 1_000);
        for (const phase of [VersionPhase.Canary, VersionPhase.Committed, VersionPhase.Unknown]) {
            expect(rollouts.apply(news(phase), 2_000)).to.equal(false);
        }
        expect(rollouts.of("s")?.phase).to.equal(VersionPhase.RolledBack);
        rollouts.apply(news(VersionPhase.Completed, { isStored: true }), 3_000);
        expect(rollouts.of("s")?.phase).to.equal(VersionPhase.Completed);
    });

    // Guards against a store restored from a copy that makes a decided order run again, or brings back an order that was replaced.
    it("keep their phase when a restored store states them in another era", () => {
        const rollouts = new VersionRollouts();
        rollouts.apply(news(VersionPhase.Canary, { revision: 30, to: "v1" }), 0);
        rollouts.apply(news(VersionPhase.RolledBack, { isStored: true }), 0);
        const restored = news(VersionPhase.Unknown, { revision: storePosition(2, 40), age: undefined });
        rollouts.apply(restored, 5_000);
        expect(rollouts.of("s")).to.include({ phase: VersionPhase.RolledBack, isStored: false });
        // A peer that does not know of the restoration.
        rollouts.apply(news(VersionPhase.RolledBack, { isStored: true }), 5_500);
        expect(rollouts.of("s")?.isStored).to.equal(false);
        rollouts.apply({ ...restored, revision: storePosition(2, 30), to: "v1" }, 6_000);
        expect(rollouts.of("s")?.to).to.equal("v2");
        rollouts.apply({ ...restored, revision: storePosition(2, 41), to: "v3" }, 7_000);
        expect(rollouts.of("s")?.to).to.equal("v3");
    });

    // Guards against a new order that is ignored because the restored store gave it a lower revision than one that it has lost.
    it("are replaced by a new order of a later era", () => {
        const rollouts = new VersionRollouts();
        rollouts.apply(news(VersionPhase.RolledBack), 0);
        rollouts.apply(news(VersionPhase.Canary, { revision: storePosition(2, 35), to: "v3" }), 0);
        expect(rollouts.of("s")).to.include({ to: "v3", phase: VersionPhase.Canary });
    });

    // Guards against an order that is found at a start and runs although it may have been decided.
    it("are unknown until their age is known", () => {
        const rollouts = new VersionRollouts();
        const read = news(VersionPhase.Unknown, { age: undefined });
        expect(rollouts.date(read, undefined).phase).to.equal(VersionPhase.Unknown);
        expect(rollouts.date(read, 0)).to.include({ phase: VersionPhase.Canary, age: 0 });
        rollouts.apply(read, 1_000);
        expect(rollouts.of("s")).to.include({ phase: VersionPhase.Unknown, startedAt: undefined });
        rollouts.apply(news(VersionPhase.Half, { age: 700 }), 1_000);
        expect(rollouts.of("s")).to.include({ phase: VersionPhase.Half, startedAt: 300 });
    });

    // Guards against routers that learn of an order or a decision only from the store.
    it("reach a peer that lacks them, and are not sent to one that has them", () => {
        const [left, right] = [new FleetState(), new FleetState()];
        left.applyFact({ kind: FactKind.VersionRollout, ...news(VersionPhase.Full) }, 1_000);
        const { isUrgent } = right.applyFacts(left.factsSince(right.watermark(), 1_000), 1_000);
        expect(isUrgent).to.equal(true);
        expect(right.versionRollouts.of("s")?.phase).to.equal(VersionPhase.Full);
        expect(left.factsSince(right.watermark(), 1_000)).to.deep.equal([]);
        expect(left.factsSince({ ...right.watermark(), rollouts: undefined }, 1_000)).to.have.length(1);
    });

    // Guards against a peer of a later release whose phases this release does not know.
    it("ignore unknown phases", () => {
        expect(new VersionRollouts().apply(news("later" as VersionPhase), 0)).to.equal(false);
    });
});

/** Placement: which endpoints may be selected, and what it learns from their answers. */
import { FakeClock } from "@redwingpin/common";
import type { EndpointStatus } from "@redwingpin/protocol";
import { expect } from "chai";
import { baseEjectionTime, failuresBeforeEjection, maximumEjectedEndpoints } from "../ejection.js";
import type { CandidateEndpoint } from "../endpointTable.js";
import { maximumCandidates, Placement, PlacementOutcome, type PlacementRequest } from "../placement.js";
import { initialRetries, RetryBudget } from "../retryBudget.js";

const weights = { model: "drafting", version: "1" };
const instances = ["one", "two", "three", "four"];

function candidateOf(instance: string, fields: Partial<CandidateEndpoint> = {}): CandidateEndpoint {
    return { instance, pool: "engines", dataCentre: "hobart", leaving: false, ...fields };
}

function statusOf(instance: string, fields: Partial<EndpointStatus> = {}): EndpointStatus {
    return {
        instance,
        pool: "engines",
        incarnation: `${instance}-1`,
        draining: false,
        weights: [weights],
        queuedTokens: 0,
        running: 0,
        tokensPerSecond: 0,
        ...fields,
    };
}

function requestOf(fields: Partial<PlacementRequest> = {}): PlacementRequest {
    const blocks = ["aa000001", "aa000002", "aa000003"];
    return {
        pool: "engines",
        weights,
        prefixBlocks: blocks,
        sharedBlocks: 3,
        promptTokens: 6_500,
        ...fields,
    };
}

function placementOf(clock = new FakeClock()): Placement {
    const placement = new Placement({ clock, dataCentre: "hobart", blockTokens: 2_000 });
    placement.replaceCandidates(instances.map((instance) => candidateOf(instance)));
    instances.forEach((instance) => placement.observeStatus(statusOf(instance)));
    return placement;
}

describe("placement: choice", () => {
    it("selects the same owner of a prefix at every router", () => {
        const owners = [1, 2, 3].map(() => placementOf().choose(requestOf())!.instance);
        expect(new Set(owners).size).to.equal(1);
    });

    it("distributes different prefixes over all endpoints", () => {
        const placement = placementOf();
        const owners = Array.from({ length: 40 }, (_, index) => {
            const blocks = [`${(index * 7_919_993).toString(16).padStart(8, "0")}`];
            const placed = placement.choose(
                requestOf({ prefixBlocks: blocks, sharedBlocks: 1, promptTokens: 2_000 }),
            )!;
            placement.observeOutcome(placed, PlacementOutcome.Completed);
            return placed.instance;
        });
        expect(new Set(owners).size).to.equal(instances.length);
    });

    it("never selects an endpoint that is draining, down, leaving, excluded or has other weights", () => {
        const placement = placementOf();
        placement.observeStatus(statusOf("one", { draining: true }));
        placement.observeStatus(statusOf("two", { incarnation: undefined }));
        placement.observeStatus(statusOf("three", { weights: [{ model: "drafting", version: "2" }] }));
        expect(placement.choose(requestOf())!.instance).to.equal("four");
        expect(placement.choose(requestOf(), ["four"])).to.equal(undefined);
        placement.replaceCandidates([candidateOf("four", { leaving: true })]);
        expect(placement.choose(requestOf())).to.equal(undefined);
    });

    it("selects another endpoint if the owner's queue costs more than computing the prefix again", () => {
        const placement = placementOf();
        const owner = placement.choose(requestOf())!.instance;
        placement.observeStatus(statusOf(owner, { queuedTokens: 100_000 }));
        expect(placement.choose(requestOf())!.instance).to.not.equal(owner);
    });

    it("selects a holder known from its answers, until its incarnation changes", () => {
        const placement = placementOf();
        const owner = placement.choose(requestOf())!;
        placement.observeStatus(statusOf(owner.instance, { queuedTokens: 100_000 }));
        const diverted = placement.choose(requestOf())!;
        placement.observeHead(diverted, 0);
        placement.observeOutcome(diverted, PlacementOutcome.Completed);
        expect(placement.choose(requestOf())!.expectedHitBlocks).to.equal(3);
        placement.observeStatus(statusOf(diverted.instance, { incarnation: "again" }));
        const others = instances.filter((instance) => instance !== diverted.instance);
        const afterRestart = placement.choose(requestOf(), others)!;
        expect(afterRestart.instance).to.equal(diverted.instance);
        expect(afterRestart.expectedHitBlocks).to.equal(0);
    });

    it("expects hits from an endpoint's cache summary, and none at an owner whose summary lacks the prefix", () => {
        const placement = placementOf();
        const owner = placement.choose(requestOf())!;
        placement.observeOutcome(owner, PlacementOutcome.Declined);
        instances.forEach((instance) => placement.observeStatus(statusOf(instance, { heldPrefixes: [] })));
        const withoutHolder = placement.choose(requestOf())!;
        expect(withoutHolder.expectedHitBlocks).to.equal(0);
        placement.observeOutcome(withoutHolder, PlacementOutcome.Declined);
        const other = instances.find((instance) => instance !== owner.instance)!;
        placement.observeStatus(statusOf(other, { heldPrefixes: [0xaa000002] }));
        const withHolder = placement.choose(requestOf())!;
        expect(withHolder.instance).to.equal(other);
        expect(withHolder.expectedHitBlocks).to.equal(2);
    });

    it("reaches every endpoint of a pool larger than the number of candidates", () => {
        const many = Array.from({ length: 3 * maximumCandidates }, (_, index) => `engine-${index}`);
        const placement = placementOf();
        placement.replaceCandidates(many.map((instance) => candidateOf(instance)));
        many.forEach((instance) => placement.observeStatus(statusOf(instance)));
        const plain = requestOf({ prefixBlocks: [], sharedBlocks: 0, promptTokens: 1_000 });
        const chosen = many.map(() => placement.choose(plain)!.instance);
        expect(new Set(chosen).size).to.equal(many.length);
        const holder = many.at(-1)!;
        placement.observeStatus(statusOf(holder, { heldPrefixes: [0xaa000003] }));
        many.slice(0, -1).forEach((instance) =>
            placement.observeStatus(statusOf(instance, { heldPrefixes: [] }))
        );
        expect(placement.choose(requestOf())!.instance).to.equal(holder);
    });

    it("still counts work that was placed just before a late status", () => {
        const placement = placementOf();
        const plain = requestOf({ prefixBlocks: [], sharedBlocks: 0, promptTokens: 10_000 });
        const first = placement.choose(plain)!;
        placement.observeHead(first, 0);
        placement.observeStatus(statusOf(first.instance));
        expect(placement.choose(plain)!.instance).to.not.equal(first.instance);
    });

    it("ejects an endpoint after consecutive failures until the ejection time has passed", () => {
        const clock = new FakeClock();
        const placement = placementOf(clock);
        const owner = placement.choose(requestOf())!.instance;
        failRepeatedly(placement, owner);
        expect(placement.choose(requestOf())!.instance).to.not.equal(owner);
        clock.advance(baseEjectionTime);
        placement.observeStatus(statusOf(owner));
        const busyOthers = instances.filter((other) => other !== owner);
        busyOthers.forEach((other) => placement.observeStatus(statusOf(other, { queuedTokens: 100_000 })));
        expect(placement.choose(requestOf())!.instance).to.equal(owner);
    });

    it("never ejects more than the maximum share of a pool", () => {
        const placement = placementOf();
        instances.forEach((instance) => failRepeatedly(placement, instance));
        const selected = Array.from({ length: 40 }, (_, index) => {
            const blocks = [`${(index * 7_919_993).toString(16).padStart(8, "0")}`];
            return placement.choose(requestOf({ prefixBlocks: blocks, sharedBlocks: 1 }))!.instance;
        });
        expect(new Set(selected).size).to.equal(instances.length - maximumEjectedEndpoints(instances.length));
    });
});

function failRepeatedly(placement: Placement, instance: string): void {
    const others = instances.filter((other) => other !== instance);
    for (let count = 0; count < failuresBeforeEjection; count++) {
        placement.observeOutcome(placement.choose(requestOf(), others)!, PlacementOutcome.Failed);
    }
}

describe("placement: retry budget", () => {
    it("never allows more retries than a tenth of the requests and the initial ones", () => {
        const budget = new RetryBudget();
        let spent = 0;
        for (let request = 0; request < 1_000; request++) {
            budget.recordRequest();
            for (let attempt = 0; attempt < 3; attempt++) {
                spent += budget.trySpend() ? 1 : 0;
            }
        }
        expect(spent).to.be.at.most(100 + initialRetries);
        expect(spent).to.be.at.least(100);
    });
});

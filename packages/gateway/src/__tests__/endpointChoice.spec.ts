import { expect } from "chai";
import { chooseEndpoint, type EndpointState } from "../index.js";
import {
    choiceFixture,
    desiredWeightsFixture,
    endpointStateFixture,
    statusFixture,
} from "./gatewayFixture.js";

function promptFor(desiredWeights = desiredWeightsFixture(2, 5_000), outputTokens = 10) {
    return {
        model: "drafting",
        desiredWeights,
        outputTokens,
        promptTokens: 1_000,
        reusable: () => ({ tokens: 0, likelyCached: 0, fetchTime: 0 }),
    };
}

describe("choice of an endpoint", () => {
    it("prefers the endpoint with the least prompt to read, counting other routers' work", () => {
        const busy = endpointStateFixture("busy");
        const calm = endpointStateFixture("calm", { dataCentre: "burnie" });
        busy.observeLoad("router-b", { instance: "busy", waitingTokens: 9_000, running: 2 }, 9_900);
        expect(chooseEndpoint(choiceFixture([busy, calm]))?.endpointState).to.equal(calm);
    });

    it("forgets another router's work that was reported long ago", () => {
        const endpointState = endpointStateFixture("a");
        endpointState.observeLoad("router-b", { instance: "a", waitingTokens: 9_000, running: 2 }, 1_000);
        expect(endpointState.totalWaitingTokens(10_000)).to.equal(0);
    });

    it("prefers weights that were named over older ones once those are worth less", () => {
        const old = endpointStateFixture("old");
        const fresh = endpointStateFixture("fresh", { dataCentre: "burnie" });
        fresh.observeStatus(statusFixture(2), 9_900);
        const prompt = promptFor(desiredWeightsFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.endpointState).to.equal(fresh);
        const soon = promptFor(desiredWeightsFixture(2, 9_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt: soon }))?.endpointState).to.equal(old);
    });

    it("serves with old weights on time rather than with new ones far too late", () => {
        const old = endpointStateFixture("old");
        const fresh = endpointStateFixture("fresh");
        fresh.observeStatus(statusFixture(2), 9_900);
        fresh.waitingTokens = 60_000;
        const prompt = promptFor(desiredWeightsFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.endpointState).to.equal(old);
    });

    it("never chooses weights that were replaced longer ago than the bound", () => {
        const prompt = promptFor(desiredWeightsFixture(2, 400));
        expect(chooseEndpoint(choiceFixture([endpointStateFixture("old")], { prompt }))).to.equal(undefined);
    });

    it("judges an endpoint by the first version that replaced its own while versions follow each other", () => {
        const desiredWeights = {
            ...desiredWeightsFixture(3, 9_000),
            previous: [{ version: 2, desiredSince: 400 }],
        };
        expect(
            chooseEndpoint(
                choiceFixture([endpointStateFixture("old")], { prompt: promptFor(desiredWeights) }),
            ),
        ).to.equal(
            undefined,
        );
    });

    it("leaves out endpoints that are leaving, loading, down, just refused or already tried", () => {
        const leaving = endpointStateFixture("leaving", { leaving: true });
        const loading = endpointStateFixture("loading");
        loading.observeStatus(statusFixture(1, { loading: true }), 9_900);
        const refused = endpointStateFixture("refused");
        refused.avoid(500, 9_900);
        const tried = endpointStateFixture("tried");
        const down = endpointStateFixture("down");
        down.observeStatus({ ...statusFixture(1), weights: [] }, 9_900);
        const endpointStates = [leaving, loading, refused, tried, down];
        const input = choiceFixture(endpointStates, {
            tried: new Set(["tried"]),
            prompt: promptFor(desiredWeightsFixture(1, 0)),
        });
        expect(chooseEndpoint(input)).to.equal(undefined);
    });

    it("sends only requests to an endpoint about to load weights that end before, if others can take the rest", () => {
        const next = endpointStateFixture("next");
        const later = endpointStateFixture("later", { dataCentre: "burnie" });
        next.observeStatus(statusFixture(1, { loadsIn: 1_400 }), 10_000);
        const chosenFor = (outputTokens: number, endpointStates = [next, later]) =>
            chooseEndpoint(
                choiceFixture(endpointStates, {
                    prompt: promptFor(desiredWeightsFixture(1, 0), outputTokens),
                }),
            )
                ?.endpointState;
        expect(chosenFor(10)).to.equal(next);
        expect(chosenFor(150)).to.equal(later);
        expect(chosenFor(150, [next])).to.equal(next);
    });

    it("tells of a lost endpoint: by its agent, or after two connections that could not be made", () => {
        for (
            const lose of [
                (endpointState: EndpointState) =>
                    endpointState.observeStatus({ ...statusFixture(1), weights: [] }, 10_000),
                (endpointState: EndpointState) =>
                    [false, false].forEach((isConnected) => endpointState.recordConnectResult(isConnected)),
            ]
        ) {
            const endpointState = endpointStateFixture("a");
            let notifications = 0;
            endpointState.onLost(() => notifications += 1);
            endpointState.recordConnectResult(false);
            endpointState.recordConnectResult(true);
            expect(notifications).to.equal(0);
            lose(endpointState);
            expect(notifications).to.equal(1);
        }
    });

    it("uses an endpoint that was left out for its failures where no other is there", () => {
        const failing = endpointStateFixture("failing");
        const peer = endpointStateFixture("peer", { leaving: true });
        failing.health.recordNoAnswer();
        failing.health.recordNoAnswer();
        failing.health.ejectIfOutlier([failing.health, peer.health], 9_999);
        expect(failing.health.isEjected(10_000)).to.equal(true);
        expect(chooseEndpoint(choiceFixture([failing, peer]))?.endpointState).to.equal(failing);
    });
});

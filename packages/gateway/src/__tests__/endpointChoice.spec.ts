import { expect } from "chai";
import { chooseEndpoint, defaultEndpointModel, type EndpointState } from "../index.js";
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
        reusable: () => ({ tokens: 0, likelyCached: 0, repeated: 0, fetchTime: 0 }),
    };
}

describe("endpoint choice", () => {
    it("prefers the endpoint with the fewest queued prompt tokens, including those of other routers", () => {
        const busy = endpointStateFixture("busy");
        const calm = endpointStateFixture("calm", { dataCentre: "burnie" });
        busy.observeLoad("router-b", { instance: "busy", waitingTokens: 9_000, running: 2 }, 9_900);
        expect(chooseEndpoint(choiceFixture([busy, calm]))?.endpointState).to.equal(calm);
    });

    // Guards against a request that is sent to an engine without memory for it, where it would preempt another one.
    it("states that a request does not fit into the engine's free memory, and that it starts after the queued prompts", () => {
        const full = endpointStateFixture("full");
        full.observeStatus(statusFixture(1, { cacheUsed: 89_500 }), 9_900);
        full.waitingTokens = 2_500;
        const choice = chooseEndpoint(choiceFixture([full]));
        expect(choice?.fits).to.equal(false);
        expect(choice?.startsIn).to.equal(100);
        full.observeStatus(statusFixture(1, { cacheUsed: 50_000 }), 9_950);
        expect(chooseEndpoint(choiceFixture([full]))?.fits).to.equal(true);
    });

    // Guards against preempted streams: a dozen long requests fill an engine whose slots are mostly free.
    it("selects an engine without memory for the request only if no other one answers in time", () => {
        const full = endpointStateFixture("full");
        const free = endpointStateFixture("free", { dataCentre: "burnie" });
        full.observeStatus(statusFixture(1, { cacheUsed: 89_500, running: 10 }), 9_900);
        free.observeStatus(statusFixture(1), 9_900);
        const chosen = (more = {}) => chooseEndpoint(choiceFixture([full, free], more))?.endpointState;
        const model = { ...defaultEndpointModel, memory: true };
        expect(chosen({ model })).to.equal(free);
        expect(chosen()).to.equal(full);
        free.waitingTokens = 60_000;
        expect(chosen({ model })).to.equal(full);
    });

    // Guards against slow endpoints that keep their share of the requests.
    it("selects a slow endpoint only once the others have more to do", () => {
        const slow = endpointStateFixture("slow");
        const usual = endpointStateFixture("usual");
        for (let index = 0; index < 9; index++) {
            slow.estimate.observe("event", { difference: Math.log(5), scatter: 0.1 }, 9_900);
        }
        const chosen = (more = {}) => chooseEndpoint(choiceFixture([slow, usual], more))?.endpointState;
        expect(chosen()).to.equal(usual);
        expect(chosen({ model: { ...defaultEndpointModel, speed: false } })).to.equal(slow);
        usual.waitingTokens = 20_000;
        expect(chosen()).to.equal(slow);
    });

    it("drops another router's load report once it has expired", () => {
        const endpointState = endpointStateFixture("a");
        endpointState.observeLoad("router-b", { instance: "a", waitingTokens: 9_000, running: 2 }, 1_000);
        expect(endpointState.totalWaitingTokens(10_000)).to.equal(0);
    });

    it("prefers the desired weights once superseded ones are worth less", () => {
        const old = endpointStateFixture("old");
        const fresh = endpointStateFixture("fresh", { dataCentre: "burnie" });
        fresh.observeStatus(statusFixture(2), 9_900);
        const prompt = promptFor(desiredWeightsFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.endpointState).to.equal(fresh);
        const soon = promptFor(desiredWeightsFixture(2, 9_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt: soon }))?.endpointState).to.equal(old);
    });

    it("prefers an endpoint with superseded weights in time to one with the desired weights far too late", () => {
        const old = endpointStateFixture("old");
        const fresh = endpointStateFixture("fresh");
        fresh.observeStatus(statusFixture(2), 9_900);
        fresh.waitingTokens = 60_000;
        const prompt = promptFor(desiredWeightsFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.endpointState).to.equal(old);
    });

    it("never selects weights that were superseded longer ago than the bound", () => {
        const prompt = promptFor(desiredWeightsFixture(2, 400));
        expect(chooseEndpoint(choiceFixture([endpointStateFixture("old")], { prompt }))).to.equal(undefined);
    });

    it("judges an endpoint by the first version that superseded its own when versions change repeatedly", () => {
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

    it("excludes endpoints that are leaving, loading, down, avoided or already tried", () => {
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

    // Guards against attempts at endpoints that have crashed, while the configuration desires no version of the weights.
    it("excludes an endpoint that its agent reports as down, whether or not a version of the weights is desired", () => {
        const down = endpointStateFixture("down");
        down.observeStatus({ ...statusFixture(1), weights: [] }, 9_900);
        expect(chooseEndpoint(choiceFixture([down]))).to.equal(undefined);
        const running = endpointStateFixture("running", { dataCentre: "burnie" });
        expect(chooseEndpoint(choiceFixture([down, running]))?.endpointState).to.equal(running);
    });

    it("avoids an endpoint about to load weights for requests that would delay it, if another one is available", () => {
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

    it("declares an endpoint lost by its agent's status, or after two consecutive failed connection attempts", () => {
        for (
            const causeLoss of [
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
            causeLoss(endpointState);
            expect(notifications).to.equal(1);
        }
    });

    it("selects an ejected endpoint if there is no other one", () => {
        const failing = endpointStateFixture("failing");
        const peer = endpointStateFixture("peer", { leaving: true });
        failing.health.recordNoAnswer();
        failing.health.recordNoAnswer();
        failing.health.ejectIfOutlier([failing.health, peer.health], 9_999);
        expect(failing.health.isEjected(10_000)).to.equal(true);
        expect(chooseEndpoint(choiceFixture([failing, peer]))?.endpointState).to.equal(failing);
    });
});

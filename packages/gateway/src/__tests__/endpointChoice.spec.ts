import { expect } from "chai";
import { chooseEndpoint, type EndpointState } from "../index.js";
import { choiceFixture, namedFixture, statusFixture, viewFixture } from "./gatewayFixture.js";

function promptFor(named = namedFixture(2, 5_000), outputTokens = 10) {
    return {
        model: "drafting",
        named,
        outputTokens,
        promptTokens: 1_000,
        ready: () => ({ tokens: 0, hoped: 0, fetchTime: 0 }),
    };
}

describe("choice of an endpoint", () => {
    it("prefers the endpoint with the least prompt to read, counting other routers' work", () => {
        const busy = viewFixture("busy");
        const calm = viewFixture("calm", { dataCentre: "burnie" });
        busy.observeLoad("router-b", { instance: "busy", waitingTokens: 9_000, running: 2 }, 9_900);
        expect(chooseEndpoint(choiceFixture([busy, calm]))?.view).to.equal(calm);
    });

    it("forgets another router's work that was reported long ago", () => {
        const view = viewFixture("a");
        view.observeLoad("router-b", { instance: "a", waitingTokens: 9_000, running: 2 }, 1_000);
        expect(view.totalWaitingTokens(10_000)).to.equal(0);
    });

    it("prefers weights that were named over older ones once those are worth less", () => {
        const old = viewFixture("old");
        const fresh = viewFixture("fresh", { dataCentre: "burnie" });
        fresh.observeStatus(statusFixture(2), 9_900);
        const prompt = promptFor(namedFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.view).to.equal(fresh);
        const soon = promptFor(namedFixture(2, 9_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt: soon }))?.view).to.equal(old);
    });

    it("serves with old weights on time rather than with new ones far too late", () => {
        const old = viewFixture("old");
        const fresh = viewFixture("fresh");
        fresh.observeStatus(statusFixture(2), 9_900);
        fresh.waitingTokens = 60_000;
        const prompt = promptFor(namedFixture(2, 8_000));
        expect(chooseEndpoint(choiceFixture([old, fresh], { prompt }))?.view).to.equal(old);
    });

    it("never chooses weights that were replaced longer ago than the bound", () => {
        const prompt = promptFor(namedFixture(2, 400));
        expect(chooseEndpoint(choiceFixture([viewFixture("old")], { prompt }))).to.equal(undefined);
    });

    it("judges an endpoint by the first version that replaced its own while versions follow each other", () => {
        const named = { ...namedFixture(3, 9_000), previous: [{ version: 2, desiredSince: 400 }] };
        expect(chooseEndpoint(choiceFixture([viewFixture("old")], { prompt: promptFor(named) }))).to.equal(
            undefined,
        );
    });

    it("leaves out endpoints that are leaving, loading, down, just refused or already tried", () => {
        const leaving = viewFixture("leaving", { leaving: true });
        const loading = viewFixture("loading");
        loading.observeStatus(statusFixture(1, { loading: true }), 9_900);
        const refused = viewFixture("refused");
        refused.avoid(500, 9_900);
        const tried = viewFixture("tried");
        const down = viewFixture("down");
        down.observeStatus({ ...statusFixture(1), weights: [] }, 9_900);
        const views = [leaving, loading, refused, tried, down];
        const input = choiceFixture(views, {
            tried: new Set(["tried"]),
            prompt: promptFor(namedFixture(1, 0)),
        });
        expect(chooseEndpoint(input)).to.equal(undefined);
    });

    it("sends only requests to an endpoint about to load weights that end before, if others can take the rest", () => {
        const next = viewFixture("next");
        const later = viewFixture("later", { dataCentre: "burnie" });
        next.observeStatus(statusFixture(1, { loadsIn: 1_400 }), 10_000);
        const chosenFor = (outputTokens: number, views = [next, later]) =>
            chooseEndpoint(choiceFixture(views, { prompt: promptFor(namedFixture(1, 0), outputTokens) }))
                ?.view;
        expect(chosenFor(10)).to.equal(next);
        expect(chosenFor(150)).to.equal(later);
        expect(chosenFor(150, [next])).to.equal(next);
    });

    it("tells of a lost endpoint: by its agent, or after two connections that could not be made", () => {
        for (
            const lose of [
                (view: EndpointState) => view.observeStatus({ ...statusFixture(1), weights: [] }, 10_000),
                (view: EndpointState) => [false, false].forEach((reached) => view.observeReach(reached)),
            ]
        ) {
            const view = viewFixture("a");
            let told = 0;
            view.onLost(() => told += 1);
            view.observeReach(false);
            view.observeReach(true);
            expect(told).to.equal(0);
            lose(view);
            expect(told).to.equal(1);
        }
    });

    it("uses an endpoint that was left out for its failures where no other is there", () => {
        const failing = viewFixture("failing");
        const peer = viewFixture("peer", { leaving: true });
        failing.health.recordBroken();
        failing.health.recordBroken();
        failing.health.ejectIfBad([failing.health, peer.health], 9_999);
        expect(failing.health.isEjected(10_000)).to.equal(true);
        expect(chooseEndpoint(choiceFixture([failing, peer]))?.view).to.equal(failing);
    });
});

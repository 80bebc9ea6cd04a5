import { expect } from "chai";
import { AfterHold, afterHold, expectedRunning, retryAfterHold, roomAtEndpoint } from "../../index.js";

describe("the room at an endpoint", () => {
    // Guards against routers that together send more than the endpoint runs and queues.
    it("is less than its slots and queue for all routers together, once their load is known", () => {
        for (const routers of [1, 4, 31, 570]) {
            const room = roomAtEndpoint({ slots: 6, queue: 24, own: 0, others: 17, routers });
            expect(room * routers).to.be.at.most(30);
        }
    });

    // Guards against all routers that stop sending because of outdated loads.
    it("is each router's equal part at least, if the slots and the queue suffice for that", () => {
        expect(roomAtEndpoint({ slots: 6, queue: 24, own: 0, others: 100, routers: 4 })).to.equal(4);
        expect(roomAtEndpoint({ slots: 6, queue: 24, own: 4, others: 100, routers: 4 })).to.equal(0);
    });
});

describe("the expected load of endpoints", () => {
    it("is that reported for long requests, and the same everywhere for short ones", () => {
        const reports = [{ running: 10, age: 300 }, { running: 0, age: 300 }];
        expect(expectedRunning(reports, 30)[0]).to.be.closeTo(5, 0.01);
        expect(expectedRunning(reports, 30_000)[0]).to.be.closeTo(10, 0.1);
        expect(expectedRunning([], 30)).to.deep.equal([]);
    });
});

describe("after its wait, a request", () => {
    const settings = {
        enabled: true,
        fairShares: true,
        endpointQueue: 24,
        bounds: { requests: 1, bytes: 1 },
    };
    it("is sent as without a queue, unless its account is above its share or its time limit can't be met", () => {
        const after = (
            kind: "waited" | "unreachable" | "callerGone",
            isAboveShare: boolean,
            fairShares = true,
        ) => afterHold({ end: { kind }, isAboveShare, settings: { ...settings, fairShares } });
        expect(after("waited", false)).to.equal(AfterHold.Send);
        expect(after("waited", true)).to.equal(AfterHold.Refuse);
        expect(after("waited", true, false)).to.equal(AfterHold.Send);
        expect(after("unreachable", false)).to.equal(AfterHold.Refuse);
        expect(after("callerGone", true)).to.equal(AfterHold.Drop);
    });

    it("may be sent again by its caller once the queue has emptied, at times that differ", () => {
        expect(retryAfterHold(1_000, 0)).to.equal(1_000);
        expect(retryAfterHold(1_000, 0.5)).to.equal(1_500);
        expect(retryAfterHold(0, 0)).to.equal(300);
    });
});

import { expect } from "chai";
import {
    chooseEndpoint,
    type EndpointState,
    PrefixIndex,
    PrefixPlacement,
    ServiceSpeed,
    transferTime,
} from "../index.js";
import { cacheStoreFixture, choiceFixture, endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const now = 10_000;
const model = "drafting";
const outerTokens = 4_000;
const sharedTokens = 6_300;
const ownTokens = 2_890;
const store = cacheStoreFixture("127.0.0.9:9100", 4_000_000);
const bytesPerToken = 18_432;

/** One router's state: eight endpoints and a cache store. */
function routerFixture(stores = [store]) {
    const endpointStates = Array.from(
        { length: 8 },
        (_, index) => endpointStateFixture(`i-${index}`, { port: 9_000 + index }),
    );
    endpointStates.forEach((endpointState) => endpointState.observeStatus(statusFixture(2), now - 100));
    const prefixIndex = new PrefixIndex();
    prefixIndex.setStores(stores);
    return { endpointStates, prefixIndex };
}

type Router = ReturnType<typeof routerFixture>;

function placementFor(router: Router, inner = sharedTokens - outerTokens, prefix = "rules-of-a-maker") {
    return new PrefixPlacement({
        prefixIndex: router.prefixIndex,
        megabitsPerSecond: 280_000,
        bytesPerToken,
        endpointStates: () => router.endpointStates,
        model,
        parts: [
            { identifier: "catalogue", tokens: inner === 0 ? 0 : outerTokens },
            { identifier: prefix, tokens: inner },
            { identifier: "own", tokens: ownTokens },
        ],
        scope: (version) => `shared;${version}`,
    });
}

/** Returns the endpoint that a router chooses for a request, and queues the prompt tokens there. */
function send(router: Router, prefix: string): string {
    const placement = placementFor(router, undefined, prefix);
    const choice = chooseEndpoint(choiceFixture(router.endpointStates, {
        now,
        prompt: {
            model,
            desiredWeights: undefined,
            promptTokens: sharedTokens + ownTokens,
            outputTokens: 10,
            reusable: (endpointState, version) => {
                const { cached, fetchable, ...rest } = placement.sourceFor(endpointState, version, now);
                return { tokens: cached + fetchable, ...rest };
            },
        },
    }));
    expect(choice).not.to.equal(undefined);
    choice!.endpointState.waitingTokens += choice!.tokensToProcess;
    return choice!.endpointState.endpoint.instance;
}

/** A router that knows of queued requests of other routers at every endpoint. */
function busyRouterFixture(waitingTokens: number) {
    const router = routerFixture();
    router.endpointStates.forEach((endpointState) =>
        endpointState.observeLoad("router-b", {
            instance: endpointState.endpoint.instance,
            waitingTokens,
            running: 4,
        }, now)
    );
    return router;
}

describe("requests for prefixes that no endpoint has processed with new weights", () => {
    it("go to one endpoint if all have a queue, whichever router receives them", () => {
        for (const prefix of ["rules-1", "rules-2", "rules-3"]) {
            const endpoints = Array.from({ length: 5 }, () => send(busyRouterFixture(30_000), prefix));
            expect(new Set(endpoints).size).to.equal(1);
        }
    });

    it("go to the same endpoint while the first of them is still queued", () => {
        const router = busyRouterFixture(30_000);
        const endpoints = Array.from({ length: 2 }, () => send(router, "rules-of-a-maker"));
        expect(new Set(endpoints).size).to.equal(1);
    });

    it("go to an idle endpoint, since processing the prefix again there delays no other request", () => {
        const router = routerFixture();
        expect(send(router, "rules-of-a-maker")).not.to.equal(send(router, "rules-of-a-maker"));
    });

    it("are spread over the endpoints by prefix", () => {
        const counts = new Map<string, number>();
        for (let index = 0; index < 64; index++) {
            const endpoint = send(busyRouterFixture(30_000), `rules-${index}`);
            counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
        }
        expect(counts.size).to.equal(8);
        expect(Math.max(...counts.values())).to.be.at.most(18);
    });
});

describe("requests for a long prefix to fast engines, whose links are faster than the engines", () => {
    const longTokens = 13_300;
    const tokensPerMillisecond = 157;
    const fastStore = { ...store, megabitsPerSecond: 54_000 };

    /** Chooses among engines, one of them the owner, of which each has a queue. */
    function choose(queue: { readonly owner: number; readonly others: number; }, isSaved: boolean) {
        const router = routerFixture([fastStore]);
        const placement = placementFor(router, longTokens - outerTokens);
        const names = placement.namesOf(2);
        const sizes = [outerTokens, longTokens - outerTokens];
        const isOwner = (endpointState: EndpointState) =>
            placement.sourceFor(endpointState, 2, now).likelyCached > 0;
        const owner = router.endpointStates.find(isOwner)!;
        if (isSaved) {
            router.prefixIndex.observeSaved(
                sizes.map((tokens, index) => ({ name: names[index], tokens, store: store.address })),
            );
        }
        router.endpointStates.forEach((endpointState) =>
            endpointState.waitingTokens = endpointState === owner ? queue.owner : queue.others
        );
        const speed = new ServiceSpeed();
        speed.tokensPerMillisecond = tokensPerMillisecond;
        const choice = chooseEndpoint(choiceFixture(router.endpointStates, {
            now,
            speed,
            prompt: {
                model,
                desiredWeights: undefined,
                promptTokens: longTokens + ownTokens,
                outputTokens: 10,
                reusable: (endpointState, version) => {
                    const { cached, fetchable, ...rest } = placement.sourceFor(endpointState, version, now);
                    return { tokens: cached + fetchable, ...rest };
                },
            },
        }));
        return { isOwner: choice?.endpointState === owner, fetchTime: choice?.fetchTime };
    }

    it("wait for the owner while that is in time, so that the prefix is not processed twice", () => {
        expect(choose({ owner: 30_000, others: 8_000 }, false).isOwner).to.equal(true);
    });

    it("go elsewhere if they would be late at the owner", () => {
        expect(choose({ owner: 110_000, others: 8_000 }, false).isOwner).to.equal(false);
    });

    it("go to the engine with the shortest queue once the prefix is saved, since a fetch is faster than the queue", () => {
        const choice = choose({ owner: 30_000, others: 8_000 }, true);
        expect(choice.isOwner).to.equal(false);
        expect(choice.fetchTime).to.be.closeTo(36.3, 0.1);
        expect(choice.fetchTime).to.be.below(longTokens / tokensPerMillisecond);
    });
});

describe("prefix placement", () => {
    it("fetches what was saved to the cache store, and saves what was not", () => {
        const router = routerFixture();
        const placement = placementFor(router);
        const unsaved = placement.sourceFor(router.endpointStates[0], 2, now);
        expect(placement.saveTo(2)).to.equal(store.address);
        expect(unsaved).to.deep.include({ cached: 0, fetchable: 0, fetchTime: 0, source: store });
        expect(unsaved.likelyCached + unsaved.repeated).to.equal(sharedTokens);
        const names = placement.namesOf(2);
        router.prefixIndex.observeSaved([
            { name: names[0], tokens: outerTokens, store: store.address },
            { name: names[1], tokens: sharedTokens - outerTokens, store: store.address },
        ]);
        expect(placement.saveTo(2)).to.equal(undefined);
        expect(placement.sourceFor(router.endpointStates[0], 2, now)).to.deep.equal({
            cached: 0,
            fetchable: sharedTokens,
            likelyCached: 0,
            repeated: 0,
            fetchTime: transferTime(sharedTokens * bytesPerToken, store, store),
            source: store,
        });
    });

    it("never uses prefixes that were processed with other weights", () => {
        const router = routerFixture();
        const placement = placementFor(router);
        const names = placement.namesOf(1);
        router.prefixIndex.observeSaved([{ name: names[0], tokens: outerTokens, store: store.address }]);
        expect(placement.sourceFor(router.endpointStates[0], 1, now).fetchable).to.equal(outerTokens);
        expect(placement.sourceFor(router.endpointStates[0], 2, now).fetchable).to.equal(0);
    });

    it("makes all other endpoints with the same weights fetch from the owner if there is no cache store", () => {
        const router = routerFixture([]);
        const placement = placementFor(router);
        const sources = router.endpointStates.map((endpointState) =>
            placement.sourceFor(endpointState, 2, now).source?.address
        );
        const owner = router.endpointStates[sources.indexOf(undefined)];
        const addresses = new Set(sources.filter((address) => address !== undefined));
        expect([...addresses]).to.deep.equal([`${owner.endpoint.host}:${owner.endpoint.port}`]);
        owner.observeStatus(statusFixture(1), now);
        expect(placement.sourceFor(router.endpointStates[0], 2, now).source?.address)
            .not.to.equal(`${owner.endpoint.host}:${owner.endpoint.port}`);
    });

    it("does not fetch a shared prefix that is processed again faster", () => {
        const router = routerFixture();
        const placement = placementFor(router, 0);
        expect(placement.saveTo(2)).to.equal(undefined);
        expect(placement.sourceFor(router.endpointStates[0], 2, now).source).to.equal(undefined);
    });
});

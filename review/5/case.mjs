/**
 * Replicas serve two models. New weights of one are named, and new weights of the other half a second later, before the
 * first ones are in place everywhere.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, hasTrouble, runCase, sleep, until, untilReady } from "../support/site.mjs";

const models = ["alpha", "beta"];
const routers = ["127.0.0.11", "127.0.0.12"];
const replicas = 3;

/** Time between the two versions with the disruption. */
const gap = 500;
const limit = 40_000;

await runCase(dirname(fileURLToPath(import.meta.url)), play);

async function play(site, record) {
    site.store.write("op/config", configuration(models));
    for (const model of models) {
        site.store.write(`op/version/${model}`, { model, version: 1 });
    }
    for (let index = 1; index <= replicas; index++) {
        const replica = await site.addReplica({
            instance: `i-${index}`,
            service: "engines",
            host: `127.0.0.${30 + index}`,
            models: models.map((name) => ({ name, version: 1 })),
        });
        await site.startAgent(`side-hobart-${index}`, replica);
    }
    for (const [index, host] of routers.entries()) {
        const router = await site.startRouter(`frontend-hobart-${index + 1}`, host, routers);
        await untilReady(router);
    }
    await sleep(4_000);
    nameVersion(site, record, "beta");
    await (hasTrouble ? sleep(gap) : untilInPlace(site, "beta"));
    nameVersion(site, record, "alpha");
    await untilInPlace(site, "beta");
    await untilInPlace(site, "alpha");
    await sleep(1_000);
    return site.replicas.flatMap(findOldOrders);
}

function nameVersion(site, record, model) {
    const revision = site.store.write(`op/version/${model}`, { model, version: 2 });
    record.write("version named", { model, version: 2, revision });
}

function untilInPlace(site, model) {
    const isInPlace = (replica) => replica.models.find(({ name }) => name === model).version === 2;
    return until(`all have ${model}`, () => site.replicas.every(isInPlace), limit);
}

/** The orders that a replica carried out with a lower generation number than an order before. */
function findOldOrders({ instance, orders }) {
    return orders.filter(({ fencingToken }, index) =>
        orders.slice(0, index).some((earlier) => earlier.fencingToken > fencingToken)
    ).map(({ fencingToken, holder, model }) => ({ replica: instance, holder, model, fencingToken }));
}

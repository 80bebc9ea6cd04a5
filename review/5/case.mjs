/**
 * Three of four routers are partitioned from the store. A replica of the fourth one's service leaves: it reports that it
 * drains, and ends three seconds after the store has accepted that.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { streamEvents } from "../support/replica.mjs";
import { clientHeaders, configuration, runCase, send, sleep, until, untilReady } from "../support/site.mjs";

/** True unless the case runs without its disruption. */
const hasTrouble = process.env["TROUBLE"] !== "0";

const hosts = ["127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"];
const replicas = 4;

/** Bounds of the pages. */
const contactTime = 3_000;
const drainTime = 2_000;

/** The replica serves a little longer than it must. */
const leavesAfter = 3_000;
const cutTime = 5_500;
const events = 58;
const eventInterval = 25;

/** Streams that the clients of the fourth router start together. */
const streams = 16;

await runCase(dirname(fileURLToPath(import.meta.url)), play);

async function play(site, record) {
    site.store.write("op/config", configuration());
    for (let index = 1; index <= replicas; index++) {
        await site.addReplica({
            instance: `i-${index}`,
            service: "engines",
            host: `127.0.0.${30 + index}`,
            models: [{ name: "drafting", version: 1 }],
            serve: serveStream,
            events,
            eventInterval,
        });
        await site.startAgent(`side-hobart-${index}`, site.replicas.at(-1));
    }
    const routers = [];
    for (const [index, host] of hosts.entries()) {
        routers.push(await site.startRouter(`frontend-hobart-${index + 1}`, host, hosts.slice(0, 3)));
        await untilReady(routers.at(-1));
    }
    await sleep(contactTime + 3_000);
    const isWatching = ({ name }) => site.store.isWatchedBy(name, "servers/");
    await until("three routers watch the replicas", () => routers.filter(isWatching).length === 3);
    const calm = routers.find((router) => !isWatching(router));
    const others = routers.filter((router) => router !== calm);
    record.write("router in touch", { name: calm.name });
    // Every replica has served the router before.
    await startStreams(calm, replicas * 4, record);
    await sleep(contactTime);

    if (hasTrouble) {
        others.forEach(({ name }) => {
            site.store.cut(name);
            record.write("partitioned from the store", { name });
        });
    }
    const leaving = site.replicas[0];
    leaving.state = "draining";
    leaving.register();
    const acknowledgedAt = Date.now();
    record.write("leaving is acknowledged", { replica: leaving.instance });
    await sleep(drainTime + 300);
    const running = startStreams(calm, streams, record);
    await sleep(acknowledgedAt + leavesAfter - Date.now());
    site.store.remove(`servers/${leaving.instance}`);
    leaving.isRemoved = true;
    leaving.crash();
    record.write("the replica has left", { replica: leaving.instance });
    const answers = await running;
    await sleep(acknowledgedAt + cutTime - Date.now());
    others.forEach(({ name }) => site.store.heal(name));
    record.write("streams that were not served whole", {
        count: answers.filter(({ isWhole }) => !isWhole).length,
    });
    return leaving.runs.filter(({ at }) => at - acknowledgedAt > drainTime)
        .map(({ at, id }) => ({ id, replica: leaving.instance, after: at - acknowledgedAt }));
}

/** Streams, and states in the answer that the replica leaves once it does. */
function serveStream(run, response) {
    if (run.replica.state === "draining") {
        response.setHeader("Server-Leaving", "1");
    }
    streamEvents(run, response);
}

function startStreams(router, count, record) {
    return Promise.all(Array.from({ length: count }, async (_, index) => {
        const headers = clientHeaders(12_000, {
            "redwingpin-model": "drafting",
            "redwingpin-token-counts": "826,58",
            "redwingpin-prompt-prefix": `a0${index % 4}:198,b0${index}:628`,
        });
        const id = headers["redwingpin-request-attempt-id"];
        record.write("sent", { id, router: router.name });
        const answer = await send({
            headers,
            host: router.host,
            port: router.callers,
            path: "/draft/1",
            body: `a query ${index}`,
        });
        const isWhole = answer.isComplete && answer.text.includes(`id: ${events}\n`);
        record.write("answered", { id, status: answer.status, isWhole });
        return { id, isWhole };
    }));
}

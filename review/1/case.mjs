/**
 * A replica spoils the status line of one in fifty of its answers: 000 stands where 200 should. Everything else of the
 * answer is right.
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import {
    clientHeaders,
    configuration,
    keptChannel,
    runCase,
    send,
    sleep,
    untilReady,
} from "../support/site.mjs";

/** True unless the case runs without its disruption. */
const hasTrouble = process.env["TROUBLE"] !== "0";

const host = "127.0.0.11";
const clients = 16;
const workTime = 85;
const spoiledInstance = "i-3";
/** The impairment: from its first to its last second, one in so many answers of the replica. */
const spoiledFrom = 4_000;
const spoiledFor = 5_500;
const oneIn = 50;
const trafficTime = 14_000;

/** The rule allows three such channels. */
const brokenFrom = 4;

await runCase(dirname(fileURLToPath(import.meta.url)), play, brokenFrom);

async function play(site, record) {
    site.store.write("op/config", configuration());
    const startedAt = Date.now();
    let answers = 0;
    const serve = (run, response) => {
        setTimeout(() => {
            const time = Date.now() - startedAt;
            const isImpaired = time >= spoiledFrom && time < spoiledFrom + spoiledFor;
            answers += isImpaired ? 1 : 0;
            const isSpoiled = hasTrouble && isImpaired && answers % oneIn === 0;
            (isSpoiled ? writeSpoiledAnswer : writeAnswer)(run, response, record);
        }, workTime);
    };
    for (const instance of ["i-1", "i-2", "i-3"]) {
        const more = instance === spoiledInstance ? { serve } : { workTime };
        await site.addReplica({ instance, service: "registry", host: "127.0.0.31", slots: 6, ...more });
    }
    const router = await site.startRouter("frontend-hobart-1", host, [host]);
    await untilReady(router);
    const sent = await Promise.all(
        Array.from({ length: clients }, (_, client) => runClient(router, client, startedAt, record)),
    );
    const sound = new Set(
        site.replicas.filter(({ instance }) => instance !== spoiledInstance)
            .flatMap(({ runs }) => runs.map(({ id }) => id)),
    );
    record.write("ends of the router", { count: router.ends });
    return sent.flat().filter(({ id, isKept, status }) => isKept && status === undefined && sound.has(id));
}

function writeAnswer(run, response) {
    const body = bodyOf(run);
    response.writeHead(200, { "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/** Writes the same answer with another status to the replica's channel. */
function writeSpoiledAnswer(run, response, record) {
    const { id, replica, request } = run;
    const body = bodyOf(run);
    record.write("spoiled answer", { replica: replica.instance, id });
    response.detachSocket(request.socket);
    request.socket.end(
        `HTTP/1.1 000 OK\r\nRedwingpin-Request-Attempt-Id: ${id}\r\n`
            + `Redwingpin-Response-Seal: ${replica.instance}.${id}\r\n`
            + `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
}

function bodyOf({ id, replica }) {
    return `${replica.instance} has run ${id}`;
}

/** Sends one request after the other on a channel that is kept, and opens a new one if it ends. */
async function runClient(router, client, startedAt, record) {
    const sent = [];
    let agent = keptChannel();
    let answered = 0;
    while (Date.now() - startedAt < trafficTime) {
        const path = client % 2 === 0 ? "/stamp/1" : "/status/1";
        const headers = clientHeaders(1_500);
        const id = headers["redwingpin-request-attempt-id"];
        record.write("sent", { client, id, path });
        const { status } = await send({
            agent,
            headers,
            host,
            port: router.callers,
            path,
            method: client % 2 === 0 ? "POST" : "GET",
            body: client % 2 === 0 ? "a stamp" : undefined,
        });
        const entry = { client, id, path, isKept: answered > 0, status };
        record.write("answered", entry);
        sent.push(entry);
        answered += 1;
        if (status === undefined) {
            agent.destroy();
            agent = keptChannel();
            answered = 0;
            await sleep(100);
        }
        await sleep(20);
    }
    agent.destroy();
    return sent;
}

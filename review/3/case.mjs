/**
 * One request crashes each replica that begins to run it. The replica crashes after it has sent the first event, and is back
 * after two seconds. The client sends the request again and again.
 */
import { dirname } from "node:path";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { streamEvents } from "../support/replica.mjs";
import { clientHeaders, configuration, runCase, send, sleep, untilReady } from "../support/site.mjs";

/** True unless the case runs without its disruption. */
const hasTrouble = process.env["TROUBLE"] !== "0";

const hosts = ["127.0.0.11", "127.0.0.12"];
const replicas = 6;
const contactTime = 3_000;

/** Number of the crash after which the bound begins, contactTime later. */
const boundedCrash = 3;

/** The rule allows three retries. */
const brokenFrom = 4;
const restartTime = 2_000;
const crashAfterEvent = 10;
const repeats = 16;
const repeatInterval = 1_500;
const crashingBody = "the same query";
const soundInterval = 60;
const events = 58;

await runCase(dirname(fileURLToPath(import.meta.url)), play, brokenFrom);

async function play(site, record) {
    const crashes = [];
    const arrivals = [];
    let starts = 0;
    const addReplica = async (host, port) => {
        starts += 1;
        await site.addReplica({
            instance: `i-${starts}`,
            service: "engines",
            host,
            port,
            models: [{ name: "drafting", version: 1 }],
            events,
            serve: (run, response) => {
                const isCrashing = run.body === crashingBody;
                if (isCrashing) {
                    arrivals.push({ id: run.id, replica: run.replica.instance, at: Date.now() });
                }
                if (!hasTrouble || !isCrashing) {
                    streamEvents(run, response);
                    return;
                }
                response.writeHead(200, { "content-type": "text/event-stream" });
                response.write("id: 1\ndata: 1\n\n");
                setTimeout(() => crash(run.replica), crashAfterEvent);
            },
        });
        return site.replicas.at(-1);
    };
    const crash = (replica) => {
        if (replica.isGone) {
            return;
        }
        replica.crash();
        crashes.push(Date.now());
        record.write("crash", { replica: replica.instance, number: crashes.length });
        const { host } = replica.options;
        setTimeout(() => site.isEnding || void addReplica(host, replica.port), restartTime);
        // The entry of the earlier start lapses after three heartbeat intervals without one.
        setTimeout(() => site.store.remove(`servers/${replica.instance}`), 3_600);
    };
    site.store.write("op/config", configuration());
    for (let index = 1; index <= replicas; index++) {
        const replica = await addReplica(`127.0.0.${30 + index}`, 0);
        await site.startAgent(`side-hobart-${index}`, replica);
    }
    const routers = [];
    for (const [index, host] of hosts.entries()) {
        routers.push(await site.startRouter(`frontend-hobart-${index + 1}`, host, hosts));
        await untilReady(routers.at(-1));
    }
    await sleep(contactTime + 1_000);
    const { lost, stop } = startSoundStreams(routers, record);
    for (let repeat = 0; repeat < repeats; repeat++) {
        void sendStream(routers[repeat % 2], crashingBody, record);
        await sleep(repeatInterval);
    }
    stop();
    await sleep(2_000);
    record.write("crashes", { count: crashes.length });
    record.write("sound streams that were broken off", { count: lost.length });
    const bound = (crashes[boundedCrash - 1] ?? Infinity) + contactTime;
    return arrivals.filter(({ at }) => at > bound);
}

/** Streams of other requests, which crash nothing. */
function startSoundStreams(routers, record) {
    const lost = [];
    let count = 0;
    const timer = setInterval(async () => {
        count += 1;
        const { isWhole, status } = await sendStream(routers[count % 2], `query ${count}`, record);
        if (status === 200 && !isWhole) {
            lost.push(count);
        }
    }, soundInterval);
    return { lost, stop: () => clearInterval(timer) };
}

async function sendStream(router, body, record) {
    const headers = clientHeaders(12_000, {
        "redwingpin-model": "drafting",
        "redwingpin-token-counts": "826,58",
        "redwingpin-prompt-prefix": `a0:198,${
            body === crashingBody ? "c0ffee" : body.replace(/\D/g, "") + "0"
        }:628`,
    });
    const id = headers["redwingpin-request-attempt-id"];
    const isCrashing = body === crashingBody;
    record.write("sent", { id, router: router.name, isCrashing });
    const answer = await send({ headers, host: router.host, port: router.callers, path: "/draft/1", body });
    const isWhole = answer.isComplete && answer.text.includes(`id: ${events}\n`);
    record.write("answered", { id, status: answer.status, isWhole, isCrashing });
    return { status: answer.status, isWhole };
}

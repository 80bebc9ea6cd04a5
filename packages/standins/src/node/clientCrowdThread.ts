/**
 * A thread that runs a crowd of untrusted clients, so that the event loop of the spec stays free for ordinary callers.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import type { Crowd } from "./clientCrowd.js";
import { Ending, readsResponses, type UntrustedGroup, write, writesOf } from "./untrustedClients.js";

/** Time in milliseconds between the end of a connection and the next one of the same client. */
const returnDelay = 100;

const sockets = new Set<Socket>();

function untilClosed(socket: Socket, timeout: number): Promise<void> {
    return new Promise((resolve) => {
        if (socket.destroyed || timeout <= 0) {
            resolve();
            return;
        }
        const timer = setTimeout(resolve, timeout);
        socket.once("close", () => {
            clearTimeout(timer);
            resolve();
        });
    });
}

async function runOnce({ host, port }: Crowd, group: UntrustedGroup, end: number): Promise<Socket> {
    const socket = connect(port, host);
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    // Connections may be refused or reset.
    socket.on("error", () => {});
    if (readsResponses(group)) {
        socket.resume();
    }
    for (const data of writesOf(group)) {
        if (!socket.destroyed && Date.now() < end) {
            await write(socket, data);
        }
    }
    switch (group.ending) {
        case Ending.Ends:
            socket.end();
            break;
        case Ending.Resets:
            socket.resetAndDestroy();
            break;
        case Ending.Stays:
        case Ending.Returns:
            break;
    }
    return socket;
}

async function runClient(crowd: Crowd, group: UntrustedGroup, end: number): Promise<void> {
    let socket = await runOnce(crowd, group, end);
    while (group.ending === Ending.Returns && Date.now() < end) {
        await untilClosed(socket, end - Date.now());
        await new Promise((resolve) => setTimeout(resolve, returnDelay));
        if (socket.destroyed && Date.now() < end) {
            socket = await runOnce(crowd, group, end);
        }
    }
}

async function run(crowd: Crowd): Promise<void> {
    const end = Date.now() + crowd.duration;
    for (const group of crowd.groups) {
        for (let client = 0; client < group.clients; client++) {
            void runClient(crowd, group, end);
        }
    }
    await new Promise((resolve) => setTimeout(resolve, crowd.duration));
    parentPort?.postMessage("sent");
}

parentPort?.once("message", () => {
    sockets.forEach((socket) => socket.destroy());
    parentPort?.close();
});
void run(workerData as Crowd);

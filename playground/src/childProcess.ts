/**
 * Starts, monitors and stops one process of the playground.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, type WriteStream } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { ProcessPlan } from "./processPlans.js";

const readyPollMilliseconds = 25;
const readyTimeoutMilliseconds = 30_000;

/** How a process ended. */
export interface ProcessExit {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/** A started process. */
export class PlaygroundChild {
    readonly exited: Promise<ProcessExit>;
    private readonly child: ChildProcess;
    private exit: ProcessExit | undefined;

    /** Starts the process and appends its output to `logFile`. */
    constructor(readonly plan: ProcessPlan, private readonly logFile: string) {
        const [program, ...programArguments] = plan.command;
        const log = createWriteStream(logFile, { flags: "a" });
        this.child = spawn(program!, programArguments, {
            env: { ...process.env, ...plan.environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout!.pipe(log, { end: false });
        this.child.stderr!.pipe(log, { end: false });
        this.exited = this.waitForExit(log);
    }

    get pid(): number {
        return this.child.pid!;
    }

    get isRunning(): boolean {
        return this.exit === undefined;
    }

    /** Waits until the ready address answers with status 200. Throws if the process exits or the wait times out. */
    async waitUntilReady(): Promise<void> {
        const deadline = Date.now() + readyTimeoutMilliseconds;
        while (!await isReady(this.plan.readyAddress)) {
            if (this.exit) {
                throw new Error(`${this.plan.name} exited before it was ready; see ${this.logFile}`);
            }
            if (Date.now() > deadline) {
                throw new Error(
                    `${this.plan.name} was not ready within ${readyTimeoutMilliseconds} ms; see ${this.logFile}`,
                );
            }
            await sleep(readyPollMilliseconds);
        }
    }

    /** Sends a signal. Does nothing if the process has exited. */
    signal(signal: NodeJS.Signals): void {
        if (this.isRunning) {
            this.child.kill(signal);
        }
    }

    /**
     * Sends SIGTERM, and SIGCONT so that a paused process receives it. Sends SIGKILL if the process has not exited
     * within `timeout` milliseconds.
     */
    async stop(timeout: number): Promise<void> {
        this.signal("SIGTERM");
        this.signal("SIGCONT");
        const timer = setTimeout(() => this.signal("SIGKILL"), timeout);
        await this.exited;
        clearTimeout(timer);
    }

    /** Kills the process and waits until it has exited. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.exited;
    }

    private waitForExit(log: WriteStream): Promise<ProcessExit> {
        return new Promise((resolve) => {
            const finish = (exit: ProcessExit) => {
                this.exit = exit;
                log.end();
                resolve(exit);
            };
            this.child.once("error", () => finish({ code: undefined, signal: undefined }));
            this.child.once(
                "close",
                (code, signal) => finish({ code: code ?? undefined, signal: signal ?? undefined }),
            );
        });
    }
}

async function isReady(address: string): Promise<boolean> {
    try {
        const answer = await request(address, { headersTimeout: readyTimeoutMilliseconds });
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        return false;
    }
}

/**
 * One process of the playground: started, watched and stopped.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, type WriteStream } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { ProcessPlan } from "./processPlans.js";

const readyPollMilliseconds = 25;
const readyLimitMilliseconds = 30_000;

/** How a process ended. */
export interface ProcessEnd {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/** A started process. */
export class PlaygroundChild {
    readonly ended: Promise<ProcessEnd>;
    private readonly child: ChildProcess;
    private end: ProcessEnd | undefined;

    /** Starts the process; its output goes to `logFile`. */
    constructor(readonly plan: ProcessPlan, private readonly logFile: string) {
        const [program, ...programArguments] = plan.command;
        const log = createWriteStream(logFile, { flags: "a" });
        this.child = spawn(program!, programArguments, {
            env: { ...process.env, ...plan.environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout!.pipe(log, { end: false });
        this.child.stderr!.pipe(log, { end: false });
        this.ended = this.watch(log);
    }

    get pid(): number {
        return this.child.pid!;
    }

    get isRunning(): boolean {
        return this.end === undefined;
    }

    /** Waits until the ready address answers with status 200. */
    async untilReady(): Promise<void> {
        const limit = Date.now() + readyLimitMilliseconds;
        while (!await isReady(this.plan.readyAddress)) {
            if (this.end) {
                throw new Error(`${this.plan.name} ended before it was ready; see ${this.logFile}`);
            }
            if (Date.now() > limit) {
                throw new Error(
                    `${this.plan.name} is not ready after ${readyLimitMilliseconds} ms; see ${this.logFile}`,
                );
            }
            await sleep(readyPollMilliseconds);
        }
    }

    /** Sends a signal; has no effect once the process has ended. */
    signal(signal: NodeJS.Signals): void {
        if (this.isRunning) {
            this.child.kill(signal);
        }
    }

    /** Asks the process to stop, and kills it where it does not within `limit` milliseconds. */
    async stop(limit: number): Promise<void> {
        this.signal("SIGTERM");
        this.signal("SIGCONT");
        const timer = setTimeout(() => this.signal("SIGKILL"), limit);
        await this.ended;
        clearTimeout(timer);
    }

    /** Kills the process and waits for its end. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.ended;
    }

    private watch(log: WriteStream): Promise<ProcessEnd> {
        return new Promise((resolve) => {
            const finish = (end: ProcessEnd) => {
                this.end = end;
                log.end();
                resolve(end);
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
        const answer = await request(address, { headersTimeout: readyLimitMilliseconds });
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        return false;
    }
}

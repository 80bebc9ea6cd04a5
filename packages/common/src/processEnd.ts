/**
 * Logs why a process ends: its exit code, the unexpected error if there was one, and what it was doing. Signals that can't
 * be handled, such as SIGKILL, and V8's abort at the limit of the heap leave no line.
 *
 * @module
 */
import { inspect } from "node:util";
import type { Clock, Milliseconds } from "./clock.js";
import type { LineWriter } from "./lineWriter.js";
import { type LogFields, LogLevel } from "./logger.js";

/** Exit code of a process that ends because of an unexpected error. */
export const unexpectedErrorExitCode = 1;

/** Maximum time between an unexpected error and the exit. */
const abandonTimeout: Milliseconds = 500;

/** Options of {@link reportProcessEnd}. */
export interface ProcessEndOptions {
    /** Scope of the lines. */
    readonly scope: string;
    readonly clock: Clock;
    readonly lines: LineWriter;
    /** Fields that say what the process is and does, for example the number of requests that are being served. */
    readonly describe: () => LogFields;
    /**
     * Called after an unexpected error, to answer those who wait for this process. It has 500 ms, and a second error ends
     * the process immediately.
     * @default the process exits immediately
     */
    readonly abandon?: () => Promise<void>;
}

/**
 * Logs a line when the process exits, and one for each error that nothing has handled, also in a promise. Such an error
 * ends the process. The lines are written synchronously and without the logger, which may be what has failed.
 */
export function reportProcessEnd(options: ProcessEndOptions): void {
    const start = options.clock.now();
    const write = (level: LogLevel, message: string, fields: LogFields) => {
        const timestamp = new Date(options.clock.wallTime()).toISOString();
        const line = { ...describeSafely(options.describe), ...fields, level, message, scope: options.scope };
        options.lines.write(`${JSON.stringify({ ...line, timestamp })}\n`);
        options.lines.flushSync();
    };
    let isAbandoned = false;
    process.on("uncaughtException", (error, origin) => {
        write(LogLevel.Error, "unexpected error", { error: describeError(error), origin });
        if (isAbandoned || options.abandon === undefined) {
            process.exit(unexpectedErrorExitCode);
        }
        isAbandoned = true;
        const exit = () => process.exit(unexpectedErrorExitCode);
        options.clock.schedule(abandonTimeout, exit);
        // An error here arrives as a second unexpected one.
        void options.abandon().then(exit);
    });
    process.on("exit", (exitCode) => {
        const uptime: Milliseconds = Math.round(options.clock.now() - start);
        write(exitCode === 0 ? LogLevel.Info : LogLevel.Error, "process ends", { exitCode, uptime });
    });
}

function describeSafely(describe: () => LogFields): LogFields {
    try {
        return describe();
    }
    catch (error) {
        return { description: `failed: ${describeError(error)}` };
    }
}

/** Describes anything that was thrown, with its stack and cause. */
function describeError(error: unknown): string {
    try {
        return inspect(error);
    }
    catch {
        return "an error that cannot be described";
    }
}

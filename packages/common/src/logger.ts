/**
 * Structured logs over winston: one JSON object per line, on standard error or a given stream. Neither prompt text nor
 * keys are logged.
 *
 * @module
 */
import type { Writable } from "node:stream";
import winston from "winston";

/** Log levels, most severe first. */
export enum LogLevel {
    Error = "error",
    Warn = "warn",
    Info = "info",
    Debug = "debug",
}

/** Fields of a log line other than its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A logger with a scope, for example `router:placement`. */
export interface Logger {
    error(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    debug(message: string, fields?: LogFields): void;
    /** Creates a logger whose scope is this one's followed by a colon and `name`. */
    scope(name: string): Logger;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
    /** Scope of every line, for example `router`. */
    readonly scope: string;
    /**
     * Least severe level that is written.
     * @default LogLevel.Info
     */
    readonly level?: LogLevel;
    /** Fields added to every line, for example the instance's name. */
    readonly fields?: LogFields;
    /**
     * Stream that receives the lines.
     * @default standard error
     */
    readonly destination?: Writable;
}

/** Creates a logger that writes JSON lines. */
export function createLogger(options: LoggerOptions): Logger {
    const sink = winston.createLogger({
        level: options.level ?? LogLevel.Info,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        defaultMeta: options.fields,
        transports: [
            options.destination === undefined
                ? new winston.transports.Console({ stderrLevels: Object.values(LogLevel) })
                : new winston.transports.Stream({ stream: options.destination }),
        ],
    });
    return createScopedLogger(sink, options.scope);
}

/** A logger that writes nothing, for tests. */
export const silentLogger: Logger = {
    error: () => {},
    warn: () => {},
    info: () => {},
    debug: () => {},
    scope: () => silentLogger,
};

function createScopedLogger(sink: winston.Logger, scope: string): Logger {
    const write = (level: LogLevel) => (message: string, fields?: LogFields) => {
        sink.log(level, message, { ...fields, scope });
    };
    return {
        error: write(LogLevel.Error),
        warn: write(LogLevel.Warn),
        info: write(LogLevel.Info),
        debug: write(LogLevel.Debug),
        scope: (name) => createScopedLogger(sink, `${scope}:${name}`),
    };
}

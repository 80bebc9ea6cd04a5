/**
 * Client of the VM list, which has the HTTP service discovery format of Prometheus: a JSON list of target groups, each
 * with one `host:port` target and the labels `instance`, `role`, `data_centre`, `pool` and `leaving`.
 *
 * @module
 */
import {
    type Clock,
    type Finding,
    formatFinding,
    type Logger,
    type Milliseconds,
    silentLogger,
} from "@redwingpin/common";
import * as either from "fp-ts/lib/Either.js";
import * as readonlyArray from "fp-ts/lib/ReadonlyArray.js";
import { err, ok, Result, type ResultAsync } from "neverthrow";
import { defaultRequestTimeoutMilliseconds } from "./constants.js";
import { asObject, type JsonObject } from "./etcdWire.js";
import { JsonHttpClient, quote } from "./jsonHttpClient.js";
import { type VirtualMachine, type VirtualMachineList, VirtualMachineRole } from "./virtualMachineList.js";

/** Options of {@link createVirtualMachineList}. */
export interface VirtualMachineListOptions {
    /** Full address of the list, for example `http://127.0.0.1:9100/virtualMachines`. */
    readonly address: string;
    readonly clock: Clock;
    /**
     * Time after which a call without an answer fails.
     * @default 2000
     */
    readonly requestTimeoutMilliseconds?: Milliseconds;
    /** Receives the findings of each read, one for each skipped entry.
     * @default logs them
     */
    readonly onFindings?: (findings: readonly Finding[]) => void;
    /** @default silentLogger */
    readonly logger?: Logger;
}

/** A VM list with connections that must be closed after use. */
export interface ClosableVirtualMachineList extends VirtualMachineList {
    close(): Promise<void>;
}

/** Valid entries, and findings for the others. */
export interface ParsedVirtualMachines {
    readonly virtualMachines: readonly VirtualMachine[];
    readonly findings: readonly Finding[];
}

/** Creates a client of the VM list. Invalid entries are reported and skipped. */
export function createVirtualMachineList(options: VirtualMachineListOptions): ClosableVirtualMachineList {
    const client = new JsonHttpClient({
        address: options.address,
        clock: options.clock,
        requestTimeoutMilliseconds: options.requestTimeoutMilliseconds ?? defaultRequestTimeoutMilliseconds,
    });
    const report = options.onFindings ?? createFindingLogger(options.logger ?? silentLogger);
    return {
        read: () => readList(client, report),
        close: () => client.close(),
    };
}

function readList(
    client: JsonHttpClient,
    report: (findings: readonly Finding[]) => void,
): ResultAsync<readonly VirtualMachine[], string> {
    return client.callText({ method: "GET", path: "" })
        .mapErr((failure) => `VM list${failure.message}`)
        .andThen(parseVirtualMachines)
        .map((parsed) => {
            report(parsed.findings);
            return parsed.virtualMachines;
        });
}

/** Creates a function that logs findings unless they are the same as at the previous read. */
function createFindingLogger(logger: Logger): (findings: readonly Finding[]) => void {
    let previousText = "";
    return (findings) => {
        const text = findings.map(formatFinding).join("; ");
        if (text !== previousText && text !== "") {
            logger.warn("skipped invalid entries of the VM list", { findings: text });
        }
        previousText = text;
    };
}

/** Parses the list. Fails only if the text is not a JSON list. */
export function parseVirtualMachines(text: string): Result<ParsedVirtualMachines, string> {
    return Result.fromThrowable(JSON.parse, () => `the VM list is not JSON: ${quote(text)}`)(text)
        .andThen((value: unknown) => Array.isArray(value) ? ok(value) : err("the VM list is not a list"))
        .map((groups) => {
            const parsed = groups.map((group, index) => toEither(parseGroup(group, `[${index}]`)));
            const { left, right } = readonlyArray.separate(parsed);
            return { virtualMachines: right, findings: left };
        });
}

function toEither<E, T>(result: Result<T, E>): either.Either<E, T> {
    return result.match<either.Either<E, T>>(either.right, either.left);
}

function parseGroup(value: unknown, place: string): Result<VirtualMachine, Finding> {
    return asObject(value, "entry")
        .andThen((group) =>
            Result.combine([
                parseTarget(group.targets),
                asObject(group.labels, "labels").andThen(parseLabels),
            ])
        )
        .map(([target, labels]) => ({ ...labels, ...target }))
        .mapErr((message) => ({ place, message, advice: "correct this entry of the platform's VM list" }));
}

const maximumPort = 65_535;

function parseTarget(targets: unknown): Result<{ host: string; port: number; }, string> {
    if (!Array.isArray(targets) || targets.length !== 1 || typeof targets[0] !== "string") {
        return err("targets is not a list of one string");
    }
    const match = /^(.+):(\d{1,5})$/.exec(targets[0]);
    const port = Number(match?.[2]);
    if (!match || port < 1 || port > maximumPort) {
        return err(`target "${targets[0]}" is not host:port`);
    }
    return ok({ host: match[1]!.replace(/^\[(.*)\]$/, "$1"), port });
}

type VirtualMachineLabels = Omit<VirtualMachine, "host" | "port">;

function parseLabels(labels: JsonObject): Result<VirtualMachineLabels, string> {
    const role = Object.values(VirtualMachineRole).find((member) => member === labels.role);
    if (role === undefined) {
        return err(`label role is not one of ${Object.values(VirtualMachineRole).join(", ")}`);
    }
    return Result.combine([
        requireLabel(labels, "instance"),
        requireLabel(labels, "data_centre"),
        role === VirtualMachineRole.Agent ? requireLabel(labels, "pool") : ok(undefined),
        parseLeaving(labels.leaving),
    ]).map(([instance, dataCentre, pool, leaving]) => ({ instance, role, dataCentre, pool, leaving }));
}

function requireLabel(labels: JsonObject, name: string): Result<string, string> {
    const value = labels[name];
    return typeof value === "string" && value !== "" ? ok(value) : err(`label ${name} is missing`);
}

function parseLeaving(value: unknown): Result<boolean, string> {
    if (value === undefined || value === "false") {
        return ok(false);
    }
    return value === "true" ? ok(true) : err(`label leaving is neither "true" nor "false"`);
}

/**
 * The state file, which describes a running playground to scenarios and tests.
 *
 * @module
 */

/** Kinds of processes in the playground. */
export enum PlaygroundRole {
    Router = "router",
    Agent = "agent",
    Engine = "engine",
    Service = "service",
    Store = "store",
    VirtualMachineList = "vmList",
    /** Exists only if the playground was started with a network stand-in. */
    Network = "network",
}

/** Environment variables of a process. */
export type ProcessEnvironment = Readonly<Record<string, string>>;

/** One process of the playground. */
export interface PlaygroundProcess {
    readonly name: string;
    readonly role: PlaygroundRole;
    readonly pid: number;
    /** Program and arguments. With {@link environment}, they restart the process on the same address. */
    readonly command: readonly string[];
    readonly environment: ProcessEnvironment;
    /** Base address of a stand-in's control paths. */
    readonly control?: string;
}

/** A caller's API key. */
export interface PlaygroundKey {
    readonly account: string;
    readonly key: string;
}

/** Contents of the state file. */
export interface PlaygroundState {
    /** Base addresses of the routers. */
    readonly routers: readonly string[];
    readonly keys: readonly PlaygroundKey[];
    /** Names of the routes to models. */
    readonly models: readonly string[];
    /** File with the applied manifest. */
    readonly manifest: string;
    /** Program and arguments of the operator's command for this playground. */
    readonly operator: readonly string[];
    readonly processes: readonly PlaygroundProcess[];
    /** Path of a service whose calls must not be repeated. */
    readonly nonIdempotent: string;
    /** Path of a service whose calls may be repeated. */
    readonly idempotentService: string;
}

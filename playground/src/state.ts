/**
 * The state file: everything that a trial needs to know of a running playground.
 *
 * @module
 */

/** What a process of the playground is. */
export enum PlaygroundRole {
    Router = "router",
    Agent = "agent",
    Engine = "engine",
    Service = "service",
    Store = "store",
    VirtualMachineList = "vmList",
    /** Only where the playground was started with a network that can be cut. */
    Network = "network",
}

/** Environment variables that a process is started with. */
export type ProcessEnvironment = Readonly<Record<string, string>>;

/** One process of the playground. */
export interface PlaygroundProcess {
    readonly name: string;
    readonly role: PlaygroundRole;
    readonly pid: number;
    /** Program and arguments; with {@link environment} they start the same process on the same address. */
    readonly command: readonly string[];
    readonly environment: ProcessEnvironment;
    /** Base address of a stand-in's controls. */
    readonly control?: string;
}

/** A caller's key. */
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
    /** Path of the manifest in force. */
    readonly manifest: string;
    /** Program and arguments of the operator's command for this playground. */
    readonly operator: readonly string[];
    readonly processes: readonly PlaygroundProcess[];
    /** Path of a service whose calls may not be repeated. */
    readonly nonIdempotent: string;
    /** Path of a service whose calls may be repeated. */
    readonly idempotentService: string;
}

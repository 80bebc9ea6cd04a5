/**
 * Fetches configurations from peers, and answers peers that fetch them.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import { type Connection, type Hello, type InnerNode, Topic } from "@redwingpin/protocol";
import { ConfigurationAssembly } from "../decision/configurationAssembly.js";
import { ConfigurationFetch, fetchTimeout } from "../decision/configurationFetch.js";
import type { FleetFact, FleetState } from "../decision/fleetState.js";
import {
    type ConfigurationReply,
    type FetchConfigurationCall,
    FleetMessageKind,
    readConfigurationReply,
} from "../fleetMessages.js";
import { ConfigurationServer, decodeConfiguration } from "./configurationEncoding.js";

/** Time limit of a part after the first one, for which the peer may have to encode the configuration. */
const partTimeout: Milliseconds = 1_000;

/** Options of {@link ConfigurationExchange}. */
export interface ConfigurationExchangeOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly innerNode: InnerNode;
    readonly state: FleetState;
    /** True while this process receives configurations from the store itself. */
    readonly isStoreReachable: () => boolean;
    /** Handles facts from a peer. */
    readonly onFacts: (facts: readonly FleetFact[], peer: Hello) => void;
}

/** Decides when to fetch the configuration, fetches it, and serves it to others. */
export class ConfigurationExchange {
    private readonly fetch = new ConfigurationFetch<Hello>();
    private readonly assembly = new ConfigurationAssembly();
    private readonly server: ConfigurationServer<Hello>;
    private stopped = false;

    constructor(private readonly options: ConfigurationExchangeOptions) {
        this.server = new ConfigurationServer(options.state, options.clock);
    }

    stop(): void {
        this.stopped = true;
    }

    /** Version of this process's configuration; 0 for none. */
    get version(): number {
        return this.options.state.watermark().configuration;
    }

    /** Records the version of the configuration that a peer has, and fetches it if due. */
    recordOffer(peer: Hello, version: number): void {
        const ownVersion = this.version;
        if (this.fetch.recordOffer(peer, version, ownVersion, this.options.clock.now())) {
            this.options.logger.info("a peer has a newer configuration", {
                peer: peer.instance,
                version,
                ownVersion,
            });
        }
        this.run();
    }

    /** Starts a fetch if one is due, and drops what is no longer needed. */
    run(): void {
        const { clock, isStoreReachable } = this.options;
        this.assembly.dropUpTo(this.version);
        this.server.expire();
        const peer = this.fetch.selectSource(this.version, isStoreReachable(), clock.now());
        if (peer !== undefined && !this.stopped) {
            void this.fetchFrom(peer);
        }
    }

    /** Answers a peer that fetches the configuration. */
    answer(
        call: FetchConfigurationCall,
        peer: Hello,
    ): ConfigurationReply | Promise<ConfigurationReply> {
        return this.server.answer(call, peer);
    }

    private async fetchFrom(peer: Hello): Promise<void> {
        const { innerNode, logger, onFacts } = this.options;
        const { version } = this;
        const connection = innerNode.openConnections().find((candidate) => candidate.peer === peer);
        const fetched = await this.fetchOver(connection);
        const delivered = typeof fetched !== "string";
        if (!delivered) {
            const fields = { peer: peer.instance, version, error: fetched };
            logger.warn("a peer did not deliver its configuration", fields);
        }
        this.fetch.recordResult(delivered);
        if (delivered) {
            onFacts(fetched, peer);
        }
    }

    /** Fetches the configuration, as a whole or in parts; resolves with an error message if that fails. */
    private async fetchOver(connection: Connection | undefined): Promise<readonly FleetFact[] | string> {
        for (let timeout = fetchTimeout; !this.stopped; timeout = partTimeout) {
            const transfer = this.assembly.position;
            const call: FetchConfigurationCall = {
                kind: FleetMessageKind.FetchConfiguration,
                version: this.version,
                transfer,
            };
            const answer = await connection?.call(Topic.Fleet, call, timeout);
            if (answer === undefined || answer.isErr()) {
                return answer === undefined ? "the connection is closed" : answer.error.message;
            }
            const reply = readConfigurationReply(answer.value);
            if (reply?.part === undefined) {
                return reply !== undefined && reply.news.length > 0 ? reply.news : describeEmpty(reply);
            }
            const step = this.assembly.add(reply.part);
            if (step.kind === "invalid") {
                return step.message;
            }
            this.fetch.recordProgress(this.options.clock.now());
            if (step.kind === "complete") {
                return (await decodeConfiguration(step.bytes, step.digest)).match(
                    (fact) => [fact],
                    (message) => message,
                );
            }
        }
        return "the process stops";
    }
}

function describeEmpty(reply: ConfigurationReply | undefined): string {
    return reply?.busy ? "it sends it to others" : "no configuration in the answer";
}

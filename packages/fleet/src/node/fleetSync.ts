/**
 * Periodic exchanges between routers, and from routers to replica agents. They carry the watermarks of both ends,
 * so that whoever is behind gets what it lacks, whichever of the two the store still serves.
 *
 * Agents also tell routers of each other: a router that starts while the store is away finds the rest through them.
 *
 * @module
 */
import { type Clock, type Logger, type Milliseconds, sleep } from "@redwingpin/common";
import {
    type Connection,
    type Hello,
    type InnerAddress,
    type InnerNode,
    ProcessRole,
    Topic,
} from "@redwingpin/protocol";
import { ConfigurationFetch, fetchTimeout } from "../decision/configurationFetch.js";
import type { FleetFact, FleetState } from "../decision/fleetState.js";
import { formatAddress, PeerTable } from "../decision/peerTable.js";
import {
    type ConfigurationReply,
    FleetMessageKind,
    type PeerReport,
    readConfigurationReply,
    readFleetMessage,
    readSyncReply,
    type ReplicaStatus,
    type SyncCall,
    type SyncReply,
} from "../fleetMessages.js";

/** Interval of exchanges with peers to which there is something to tell. */
export const activeInterval: Milliseconds = 150;

/** Interval of exchanges with nothing to tell; peers behind learn news after about this time. */
export const idleInterval: Milliseconds = 700;

/** Exchanges that a router makes with all other routers in a second; a larger fleet is asked less often. */
const routerExchangesPerSecond = 40;

const millisecondsPerSecond = 1_000;

/** Shortest interval of exchanges with agents that look to another router: half of a status's lifetime. */
export const minAgentInterval: Milliseconds = 1_400;

/** Longest interval of those exchanges, within that time: the router that an agent looks to may be out of reach. */
const longestAgentInterval: Milliseconds = 3_000;

/** Exchanges that a router makes with such agents in a second, as far as the longest interval allows. */
const agentExchangesPerSecond = 10;

/** An agent looks for a router that has been silent for this time; longer than a router's interval. */
const routerSilence: Milliseconds = 3_800;

/** A peer that gives no answer for this time is called again on a new connection. */
const answerTimeout: Milliseconds = 700;

/** Routers in touch answer within some milliseconds; one that does not is not waited for by callers' requests. */
const settleTimeout: Milliseconds = 60;

/** Granularity of the schedule of exchanges. */
const tickInterval: Milliseconds = 50;

/** Options of {@link FleetSync}. */
export interface FleetSyncOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly innerNode: InnerNode;
    readonly state: FleetState;
    /** Where this process listens. */
    readonly address: InnerAddress;
    readonly role: ProcessRole;
    /** True while the store itself tells this process of configurations. */
    readonly isStoreReachable: () => boolean;
    /** Routers named by the settings. */
    readonly seeds: readonly InnerAddress[];
    /** Agents that this process should talk to. */
    readonly agents: () => readonly InnerAddress[];
    /** What to tell a peer. */
    readonly report: (peer: Hello | undefined, address: InnerAddress | undefined) => PeerReport;
    /** True while the reports for routers differ from the last that were sent. */
    readonly hasPendingReport: () => boolean;
    /** True for agents that this process, of all routers in touch, should talk to most often. */
    readonly isOwnerOf: (agent: InnerAddress) => boolean;
    /** Takes in a report; `address` is where a router listens. */
    readonly onReport: (peer: Hello, report: PeerReport, address: InnerAddress | undefined) => void;
    readonly onReplicaStatus: (replica: ReplicaStatus) => void;
    /** A peer that listens at `address` has taken in a report. */
    readonly onReportDelivered: (peer: Hello, address: InnerAddress, report: PeerReport) => void;
    /** Takes in facts from a peer. */
    readonly onFacts: (facts: readonly FleetFact[], peer: Hello) => void;
}

/** Keeps in touch with peers. */
export class FleetSync {
    private readonly peers: PeerTable;
    /** Exchanges under way, by the peer's name. */
    private readonly exchanges = new Map<string, Promise<void>>();
    private readonly configurationFetch = new ConfigurationFetch<Hello>();
    private settling: Promise<void> = Promise.resolve();
    private nextSettling: Promise<void> | undefined;
    private replies = 0;
    /** The report of the last reply to each router. */
    private readonly sentReplies = new Map<string, Pick<SyncReply, "number" | "report">>();
    /** Names of the routers in the last reply on each connection; a reply that is lost ends its connection. */
    private readonly sentRouters = new WeakMap<Hello, string>();
    /** Where the router at the other end of a connection listens. */
    private readonly routerAddresses = new WeakMap<Hello, InnerAddress>();
    /** Number of the last reply on each connection. */
    private readonly receivedReplies = new WeakMap<Hello, number>();
    private cancelTick: (() => void) | undefined;
    private stopped = false;

    constructor(private readonly options: FleetSyncOptions) {
        this.peers = new PeerTable(options.address, options.clock);
        options.innerNode.handle(Topic.Fleet, (body, from) => this.answer(body, from));
    }

    start(): void {
        this.peers.addSeeds(this.options.seeds);
        this.tick();
    }

    stop(): void {
        this.stopped = true;
        this.cancelTick?.();
    }

    /** Number of routers that answered lately, this one not counted. */
    liveRouters(): number {
        return this.peers.liveRouterNames().length;
    }

    /** Routers that answered before and have lately been silent. */
    unresponsiveRouters(): number {
        return this.peers.unresponsiveRouters();
    }

    /** Names of the routers that answered lately, this one not counted. */
    liveRouterNames(): string[] {
        return this.peers.liveRouterNames();
    }

    /** Names of routers that this one knows of and has not heard for a while. */
    unheardRouterNames(): string[] {
        return this.peers.unheardRouterNames();
    }

    /** Makes the next exchange with the chosen peers happen at once. */
    exchangeNow(isChosen: (address: InnerAddress, isRouter: boolean) => boolean): void {
        this.peers.makeDue(isChosen);
        if (!this.stopped) {
            this.round();
        }
    }

    /**
     * Tells every router in touch what it lacks; resolves when all have it, or after `settleTimeout`. Callers that come
     * meanwhile share the next round.
     */
    deliverReports(): Promise<void> {
        this.nextSettling ??= this.settling.then(() => {
            this.nextSettling = undefined;
            this.settling = this.settleOnce();
            return this.settling;
        });
        return this.nextSettling;
    }

    private async settleOnce(): Promise<void> {
        const rounds = this.peers.liveRouters().map(async (address) => {
            // An exchange that is under way carries an older report.
            await this.exchanges.get(formatAddress(address));
            this.peers.begin(address);
            await this.exchange(address);
        });
        await Promise.race([Promise.all(rounds), sleep(this.options.clock, settleTimeout)]);
    }

    /** Tells every connected router of this agent's replica. */
    sendReplicaStatus(replica: ReplicaStatus): void {
        for (const connection of this.options.innerNode.openConnections()) {
            if (connection.peer.role === ProcessRole.Router) {
                connection.notify(Topic.Fleet, { kind: FleetMessageKind.Replica, replica });
            }
        }
    }

    /** A router whose connection closes may have ended: an agent looks for it, for it may start without knowing anything. */
    connectionClosed(peer: Hello): void {
        const address = this.routerAddresses.get(peer);
        if (address !== undefined) {
            this.peers.connectionClosed(address);
        }
    }

    private tick(): void {
        if (this.stopped) {
            return;
        }
        this.round();
        this.fetchConfiguration();
        this.cancelTick = this.options.clock.schedule(tickInterval, () => this.tick());
    }

    private round(): void {
        if (this.options.role === ProcessRole.Agent) {
            // Routers call agents. One that restarts while the store is away knows none, so agents look for it.
            this.peers.dueSilent(idleInterval, routerSilence).forEach((peer) => void this.exchange(peer));
            return;
        }
        const agents = this.options.agents();
        this.peers.setAgents(agents);
        const interval = routerInterval(this.peers.liveRouterNames().length, this.options.hasPendingReport());
        const otherInterval = agentInterval(agents.length);
        const intervalOf = (agent: InnerAddress) =>
            this.options.isOwnerOf(agent) ? idleInterval : otherInterval;
        for (const peer of this.peers.due(interval, intervalOf)) {
            void this.exchange(peer);
        }
    }

    private get configurationVersion(): number {
        return this.options.state.watermark().configuration;
    }

    /** Notes the configuration that a peer has, and asks for it where it is time to. */
    private offered(peer: Hello, version: number): void {
        const now = this.options.clock.now();
        this.configurationFetch.offered(peer, version, this.configurationVersion, now);
        this.fetchConfiguration();
    }

    private fetchConfiguration(): void {
        const { clock, isStoreReachable: storeAnswers } = this.options;
        const peer = this.configurationFetch.next(this.configurationVersion, storeAnswers(), clock.now());
        if (peer !== undefined && !this.stopped) {
            void this.fetchFrom(peer);
        }
    }

    private async fetchFrom(peer: Hello): Promise<void> {
        const { innerNode, logger, onFacts: onNews } = this.options;
        const version = this.configurationVersion;
        const connection = innerNode.openConnections().find((candidate) => candidate.peer === peer);
        const call = { kind: FleetMessageKind.FetchConfiguration, version };
        const answer = await connection?.call(Topic.Fleet, call, fetchTimeout);
        const reply = answer?.isOk() ? readConfigurationReply(answer.value) : undefined;
        const delivered = reply !== undefined && reply.news.length > 0;
        if (!delivered) {
            const error = answer?.isErr() ? answer.error.message : "no configuration in the answer";
            logger.warn("a peer did not deliver its configuration", { peer: peer.instance, version, error });
        }
        this.configurationFetch.ended(delivered);
        if (delivered) {
            onNews(reply.news, peer);
        }
    }

    private exchange(address: InnerAddress): Promise<void> {
        const name = formatAddress(address);
        const exchange = this.callPeer(address).finally(() => {
            if (this.exchanges.get(name) === exchange) {
                this.exchanges.delete(name);
            }
        });
        this.exchanges.set(name, exchange);
        return exchange;
    }

    private async callPeer(address: InnerAddress): Promise<void> {
        const connected = await this.options.innerNode.connect(address);
        if (connected.isErr()) {
            this.failed(address, connected.error.message);
            return;
        }
        const connection = connected.value;
        const mark = this.options.state.watermark();
        const report = this.options.report(connection.peer, address);
        const answer = await connection.call(Topic.Fleet, {
            kind: FleetMessageKind.Sync,
            address: this.options.role === ProcessRole.Router ? this.options.address : undefined,
            mark,
            report,
            lastReply: this.receivedReplies.get(connection.peer),
        }, answerTimeout);
        const reply = answer.isOk() ? readSyncReply(answer.value) : undefined;
        if (reply === undefined) {
            connection.close();
            this.failed(address, answer.isErr() ? answer.error.message : "malformed answer");
            return;
        }
        this.options.onReportDelivered(connection.peer, address, report);
        this.succeeded(address, connection, reply);
    }

    private succeeded(address: InnerAddress, connection: Connection, reply: SyncReply): void {
        const { logger, onFacts: onNews, onReport, state } = this.options;
        if (this.peers.answered(address)) {
            logger.info("peer reached", { host: address.host, peer: connection.peer.instance });
        }
        this.receivedReplies.set(connection.peer, reply.number);
        this.peers.addRouters(reply.routers);
        if (reply.news.length > 0) {
            onNews(reply.news, connection.peer);
        }
        state.endpointsCompleteTo(reply.mark.endpoints);
        this.offered(connection.peer, reply.mark.configuration);
        onReport(connection.peer, reply.report, address);
        const news = state.factsSince(reply.mark, this.options.clock.now());
        if (news.length > 0 || reply.mark.configuration < this.configurationVersion) {
            connection.notify(Topic.Fleet, { kind: FleetMessageKind.News, news, mark: state.watermark() });
        }
    }

    private failed(address: InnerAddress, message: string): void {
        if (this.peers.failed(address)) {
            this.options.logger.warn("peer lost", { host: address.host, error: message });
        }
    }

    private async answer(body: unknown, from: Hello): Promise<SyncReply | ConfigurationReply | undefined> {
        const message = readFleetMessage(body);
        switch (message?.kind) {
            case FleetMessageKind.Sync: {
                if (message.address !== undefined) {
                    this.peers.recordCall(message.address);
                    this.routerAddresses.set(from, message.address);
                    this.options.innerNode.adopt(from, message.address);
                }
                this.options.onReport(from, message.report, message.address);
                this.offered(from, message.mark.configuration);
                return this.replyTo(message, from);
            }
            case FleetMessageKind.News:
                this.options.onFacts(message.news, from);
                this.options.state.endpointsCompleteTo(message.mark.endpoints);
                this.offered(from, message.mark.configuration);
                return undefined;
            case FleetMessageKind.Replica:
                this.options.onReplicaStatus(message.replica);
                return undefined;
            case FleetMessageKind.FetchConfiguration:
                return { news: this.options.state.configurationSince(message.version) };
            case undefined:
                this.options.logger.warn("a peer sent a malformed message", { peer: from.instance });
                return undefined;
        }
    }

    /** Answers a call; what the last answer told counts as told once the caller says that it has it. */
    private replyTo(call: SyncCall, from: Hello): SyncReply {
        const { onReportDelivered: onTold, report, state } = this.options;
        const { address } = call;
        const before = address && this.sentReplies.get(formatAddress(address));
        if (address !== undefined && before !== undefined && before.number === call.lastReply) {
            onTold(from, address, before.report);
        }
        this.replies += 1;
        const reply: SyncReply = {
            mark: state.watermark(),
            news: state.factsSince(call.mark, this.options.clock.now()),
            routers: this.routersFor(from),
            report: report(from, undefined),
            number: this.replies,
        };
        if (address !== undefined) {
            this.sentReplies.set(formatAddress(address), { number: reply.number, report: reply.report });
        }
        return reply;
    }

    /** The routers that this process hears; none where they are those of the last reply on the same connection. */
    private routersFor(peer: Hello): readonly InnerAddress[] {
        const routers = this.peers.routersHeard();
        const names = routers.map(formatAddress).join(" ");
        if (this.sentRouters.get(peer) === names) {
            return [];
        }
        this.sentRouters.set(peer, names);
        return routers;
    }
}

/** Interval of exchanges with other routers, so many that a router spends no more on them in a larger fleet. */
export function routerInterval(peers: number, hasReport: boolean): Milliseconds {
    const affordable = peers * millisecondsPerSecond / routerExchangesPerSecond;
    return Math.max(hasReport ? activeInterval : idleInterval, affordable);
}

/**
 * Interval of exchanges with agents that look to another router. Where it is longer than the shortest, that router tells
 * the others of their replicas.
 */
export function agentInterval(agents: number): Milliseconds {
    const affordable = agents * millisecondsPerSecond / agentExchangesPerSecond;
    return Math.min(longestAgentInterval, Math.max(minAgentInterval, affordable));
}

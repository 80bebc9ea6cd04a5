/**
 * Periodic exchanges between routers, and from routers to replica agents. They carry the watermarks of both peers, so
 * that the one that is behind receives the facts that it lacks, whichever of the two can reach the store.
 *
 * Agents also send routers the addresses of the other routers: a router that starts while the store is unreachable finds
 * the others through them.
 *
 * @module
 */
import { type Clock, type Logger, type Milliseconds, type RandomSource, sample } from "@redwingpin/common";
import {
    type Connection,
    type Hello,
    type InnerAddress,
    type InnerNode,
    ProcessRole,
    Topic,
} from "@redwingpin/protocol";
import type { FleetFact, FleetState } from "../decision/fleetState.js";
import { formatAddress, PeerTable } from "../decision/peerTable.js";
import {
    type ConfigurationReply,
    FleetMessageKind,
    type PeerReport,
    type PermitCall,
    type PermitReply,
    type PermitRequest,
    readFleetMessage,
    readPermitReply,
    readSyncReply,
    readTokenReply,
    type ReplicaStatus,
    type SyncCall,
    type SyncReply,
    type TokenCall,
    type TokenReply,
    type TokenRequest,
} from "../fleetMessages.js";
import { ConfigurationExchange } from "./configurationExchange.js";
import { ReportDeliveries } from "./reportDeliveries.js";

/** Interval of exchanges while there is something to report. */
export const activeInterval: Milliseconds = 150;

/** Interval of exchanges with nothing to report; peers that are behind receive new facts after about this time. */
export const idleInterval: Milliseconds = 700;

/** Exchanges per second of a router with all other routers; in a larger fleet the interval is longer. */
const routerExchangesPerSecond = 40;

const millisecondsPerSecond = 1_000;

/** Minimum interval of exchanges with agents that another router owns: less than half of a status's lifetime. */
export const minAgentInterval: Milliseconds = 1_400;

/** Maximum interval of those exchanges: shorter than that lifetime, since the owner of an agent may be unreachable. */
const maxAgentInterval: Milliseconds = 3_000;

/** Exchanges per second of a router with such agents; more if the maximum interval requires it. */
const agentExchangesPerSecond = 10;

/** An agent calls a router with which it has had no contact for this time; routers call agents at shorter intervals. */
const unresponsiveTimeout: Milliseconds = 3_800;

/** A peer that does not answer within this time is called again on a new connection. */
const answerTimeout: Milliseconds = 700;

/** Maximum time that a caller's request waits for a permit or tokens; a live router answers within a round trip. */
const permitTimeout: Milliseconds = 150;

/**
 * Number of routers to which a router passes on new facts immediately. Nearly all routers have them after a few steps, in
 * each of which every router passes them on; the others receive them in their next exchanges.
 */
const passOnCount = 4;

/** Minimum interval of the exchanges with one agent that changes of other agents cause. */
const minUrgentInterval: Milliseconds = 50;

/** Granularity of the schedule of exchanges. */
const tickInterval: Milliseconds = 50;

/** Options of {@link FleetSync}. */
export interface FleetSyncOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: RandomSource;
    readonly innerNode: InnerNode;
    readonly state: FleetState;
    /** Where this process listens. */
    readonly address: InnerAddress;
    readonly role: ProcessRole;
    /** True while this process receives configurations from the store itself. */
    readonly isStoreReachable: () => boolean;
    /** Routers from the settings. */
    readonly seeds: readonly InnerAddress[];
    /** Agents with which this process makes exchanges. */
    readonly agents: () => readonly InnerAddress[];
    /** Creates the report for a peer. */
    readonly report: (peer: Hello | undefined, address: InnerAddress | undefined) => PeerReport;
    /** True while the reports for routers contain something that has not been delivered. */
    readonly hasPendingReport: () => boolean;
    /** True for agents that this process owns: of all live routers, it makes the most frequent exchanges with them. */
    readonly isOwnerOf: (agent: InnerAddress) => boolean;
    /** Handles a received report; `address` is where the sender listens, if known. */
    readonly onReport: (peer: Hello, report: PeerReport, address: InnerAddress | undefined) => void;
    readonly onReplicaStatus: (replica: ReplicaStatus) => void;
    /** Called when a peer that listens at `address` has received a report. */
    readonly onReportDelivered: (peer: Hello, address: InnerAddress, report: PeerReport) => void;
    /**
     * Answers a router that asks for a permit.
     * @default requests stay unanswered
     */
    readonly onPermitRequest?: (request: PermitRequest, from: Hello) => PermitReply;
    /**
     * Answers a router that asks for tokens of an account; `undefined` if this process does not know the account.
     * @default requests stay unanswered
     */
    readonly onTokenRequest?: (request: TokenRequest) => Promise<TokenReply | undefined>;
    /** Handles facts from a peer. */
    readonly onFacts: (facts: readonly FleetFact[], peer: Hello) => void;
}

/** Cumulative numbers of exchanges since the start, by what caused them. */
export interface ExchangeCounts {
    /** Started because their interval had passed, or because of a change. */
    scheduledExchanges: number;
    /** Those of the scheduled ones that a change made due. */
    urgentExchanges: number;
    /** Started by {@link FleetSync.deliverReports}. */
    deliveryExchanges: number;
    /** Started by peers. */
    answeredExchanges: number;
    /** Requests for tokens that were sent to holders of accounts. */
    tokenRequests: number;
    /** Requests for tokens from other routers. */
    answeredTokenRequests: number;
}

/** Makes and answers the exchanges with peers. */
export class FleetSync {
    /** Exchanges since the start. */
    readonly counts: ExchangeCounts = {
        scheduledExchanges: 0,
        urgentExchanges: 0,
        deliveryExchanges: 0,
        answeredExchanges: 0,
        tokenRequests: 0,
        answeredTokenRequests: 0,
    };
    private readonly peers: PeerTable;
    /** Running exchanges, by the peer's name. */
    private readonly exchanges = new Map<string, Promise<void>>();
    private readonly configurations: ConfigurationExchange;
    private readonly deliveries: ReportDeliveries;
    private replyCount = 0;
    /** The report of the last reply to each router. */
    private readonly sentReplies = new Map<string, Pick<SyncReply, "number" | "report">>();
    /** Names of the routers in the last reply on each connection; the connection closes if a reply is lost. */
    private readonly sentRouters = new WeakMap<Hello, string>();
    /** Where the router at the other end of each connection listens. */
    private readonly routerAddresses = new WeakMap<Hello, InnerAddress>();
    /** Number of the last reply received on each connection. */
    private readonly receivedReplies = new WeakMap<Hello, number>();
    private cancelTick: (() => void) | undefined;
    private stopped = false;

    constructor(private readonly options: FleetSyncOptions) {
        this.peers = new PeerTable(options.address, options.clock);
        this.configurations = new ConfigurationExchange(options);
        this.deliveries = new ReportDeliveries(options.clock, (routers) => this.deliverTo(routers));
        options.innerNode.handle(Topic.Fleet, (body, from) => this.handleMessage(body, from));
    }

    start(): void {
        this.peers.addSeeds(this.options.seeds);
        this.tick();
    }

    stop(): void {
        this.stopped = true;
        this.configurations.stop();
        this.cancelTick?.();
    }

    /** Number of live routers, excluding this one. */
    liveRouterCount(): number {
        return this.peers.liveRouterNames().length;
    }

    /** Number of routers that answered before and are unresponsive now. */
    unresponsiveRouterCount(): number {
        return this.peers.unresponsiveRouterCount();
    }

    /** Names of routers that answered before and are unresponsive now. */
    unresponsiveRouterNames(): string[] {
        return this.peers.unresponsiveRouterNames();
    }

    /** Names of the live routers, excluding this one. */
    liveRouterNames(): string[] {
        return this.peers.liveRouterNames();
    }

    /** Names of known routers with which this one has had no contact for some time. */
    unheardRouterNames(): string[] {
        return this.peers.unheardRouterNames();
    }

    /**
     * Passes on new facts: starts exchanges with some routers and with the selected agents immediately. In a fleet in which a
     * router can reach all others at once, only the router that read the facts from the store passes them on; in a larger
     * one every router does that receives them.
     */
    passOn(isFromStore: boolean, isSelectedAgent: (agent: InnerAddress) => boolean): void {
        const live = this.peers.liveRouterNames();
        const reachesAll = live.length <= passOnCount;
        if (reachesAll && !isFromStore) {
            return;
        }
        const receivers = new Set(sample(this.options.random, live, passOnCount));
        this.exchangeNow((address, isRouter) =>
            isRouter ? reachesAll || receivers.has(formatAddress(address)) : isSelectedAgent(address)
        );
    }

    /**
     * Starts the next exchange with the selected agents immediately, or a moment after the last one, so that many changes
     * in a short time cause few exchanges.
     */
    exchangeWithAgents(isSelected: (agent: InnerAddress) => boolean): void {
        this.exchangeNow((address, isRouter) => !isRouter && isSelected(address), minUrgentInterval);
    }

    /** Starts the next exchange with the selected peers immediately, or `minInterval` after the start of the last one. */
    private exchangeNow(
        isSelected: (address: InnerAddress, isRouter: boolean) => boolean,
        minInterval: Milliseconds = 0,
    ): void {
        this.counts.urgentExchanges += this.peers.makeDue(isSelected, minInterval);
        if (!this.stopped) {
            this.runDueExchanges();
        }
    }

    /** Makes an exchange with each of the given routers that are live, see {@link ReportDeliveries}. */
    deliverReports(routers: readonly string[]): Promise<void> {
        return this.deliveries.deliver(routers);
    }

    private async deliverTo(routers: readonly string[]): Promise<void> {
        const receivers = this.peers.liveRouters().filter((address) =>
            routers.includes(formatAddress(address))
        );
        await Promise.all(receivers.map(async (address) => {
            // The report of a running exchange is older.
            await this.exchanges.get(formatAddress(address));
            this.peers.recordStart(address);
            this.counts.deliveryExchanges += 1;
            await this.exchange(address);
        }));
    }

    /** Asks a live router for tokens of an account; `undefined` if it does not answer in time. */
    async requestTokens(holder: string, request: TokenRequest): Promise<TokenReply | undefined> {
        this.counts.tokenRequests += 1;
        return readTokenReply(await this.callRouter(holder, { kind: FleetMessageKind.Tokens, ...request }));
    }

    /** Asks a live router for a permit; `undefined` if it does not answer in time. */
    async requestPermit(owner: string, request: PermitRequest): Promise<PermitReply | undefined> {
        return readPermitReply(await this.callRouter(owner, { kind: FleetMessageKind.Permit, ...request }));
    }

    /** Calls a live router while a caller's request waits; `undefined` if it does not answer in time. */
    private async callRouter(name: string, call: PermitCall | TokenCall): Promise<unknown> {
        const address = this.peers.liveRouters().find((router) => formatAddress(router) === name);
        if (address === undefined) {
            return undefined;
        }
        const answer = await this.options.innerNode.call(address, Topic.Fleet, call, permitTimeout);
        return answer.isOk() ? answer.value : undefined;
    }

    /** Sends the status of this agent's replica to every connected router. */
    sendReplicaStatus(replica: ReplicaStatus): void {
        for (const connection of this.options.innerNode.openConnections()) {
            if (connection.peer.role === ProcessRole.Router) {
                connection.notify(Topic.Fleet, { kind: FleetMessageKind.Replica, replica });
            }
        }
    }

    /** Makes an agent call a router whose connection closed: the router may have restarted without any state. */
    handleDisconnect(peer: Hello): void {
        const address = this.routerAddresses.get(peer);
        if (address !== undefined) {
            this.peers.recordDisconnect(address);
        }
    }

    private tick(): void {
        if (this.stopped) {
            return;
        }
        this.runDueExchanges();
        this.configurations.run();
        this.cancelTick = this.options.clock.schedule(tickInterval, () => this.tick());
    }

    private runDueExchanges(): void {
        if (this.options.role === ProcessRole.Agent) {
            // Routers call agents. A router that restarts while the store is unreachable knows no agent, so agents call it.
            this.peers.takeDueUnresponsive(idleInterval, unresponsiveTimeout).forEach((peer) =>
                void this.exchange(peer)
            );
            return;
        }
        const agents = this.options.agents();
        this.peers.setAgents(agents);
        const interval = routerInterval(this.peers.liveRouterNames().length, this.options.hasPendingReport());
        const otherInterval = agentInterval(agents.length);
        const intervalOf = (agent: InnerAddress) =>
            this.options.isOwnerOf(agent) ? idleInterval : otherInterval;
        for (const peer of this.peers.takeDue(interval, intervalOf)) {
            this.counts.scheduledExchanges += 1;
            void this.exchange(peer);
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
            this.handleFailure(address, connected.error.message);
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
            this.handleFailure(address, answer.isErr() ? answer.error.message : "malformed answer");
            return;
        }
        this.options.onReportDelivered(connection.peer, address, report);
        this.handleReply(address, connection, reply);
    }

    private handleReply(address: InnerAddress, connection: Connection, reply: SyncReply): void {
        const { logger, onFacts, onReport, state } = this.options;
        if (this.peers.recordAnswer(address)) {
            logger.info("peer reached", { host: address.host, peer: connection.peer.instance });
        }
        this.receivedReplies.set(connection.peer, reply.number);
        this.peers.addRouters(reply.routers);
        if (reply.news.length > 0) {
            onFacts(reply.news, connection.peer);
        }
        state.recordEndpointsRevision(reply.mark.endpoints);
        this.configurations.recordOffer(connection.peer, reply.mark.configuration);
        onReport(connection.peer, reply.report, address);
        const facts = state.factsSince(reply.mark, this.options.clock.now());
        if (facts.length > 0 || reply.mark.configuration < this.configurations.version) {
            connection.notify(Topic.Fleet, {
                kind: FleetMessageKind.Facts,
                news: facts,
                mark: state.watermark(),
            });
        }
    }

    private handleFailure(address: InnerAddress, message: string): void {
        if (this.peers.recordFailure(address)) {
            this.options.logger.warn("peer lost", { host: address.host, error: message });
        }
    }

    private async handleMessage(
        body: unknown,
        from: Hello,
    ): Promise<SyncReply | ConfigurationReply | PermitReply | TokenReply | undefined> {
        const message = readFleetMessage(body);
        switch (message?.kind) {
            case FleetMessageKind.Sync: {
                this.counts.answeredExchanges += 1;
                if (message.address !== undefined) {
                    this.peers.recordCall(message.address);
                    this.routerAddresses.set(from, message.address);
                    this.options.innerNode.reuseConnection(from, message.address);
                }
                this.options.onReport(from, message.report, message.address);
                this.configurations.recordOffer(from, message.mark.configuration);
                return this.replyTo(message, from);
            }
            case FleetMessageKind.Facts:
                this.options.onFacts(message.news, from);
                this.options.state.recordEndpointsRevision(message.mark.endpoints);
                this.configurations.recordOffer(from, message.mark.configuration);
                return undefined;
            case FleetMessageKind.Replica:
                this.options.onReplicaStatus(message.replica);
                return undefined;
            case FleetMessageKind.FetchConfiguration:
                return this.configurations.answer(message, from);
            case FleetMessageKind.Permit:
                return this.options.onPermitRequest?.(message, from);
            case FleetMessageKind.Tokens:
                this.counts.answeredTokenRequests += 1;
                return this.options.onTokenRequest?.(message);
            case undefined:
                this.options.logger.warn("a peer sent a malformed message", { peer: from.instance });
                return undefined;
        }
    }

    /** Answers a call. The report of the previous reply counts as delivered once the caller acknowledges that reply. */
    private replyTo(call: SyncCall, from: Hello): SyncReply {
        const { onReportDelivered, report, state } = this.options;
        const { address } = call;
        const previous = address && this.sentReplies.get(formatAddress(address));
        if (address !== undefined && previous !== undefined && previous.number === call.lastReply) {
            onReportDelivered(from, address, previous.report);
        }
        this.replyCount += 1;
        const reply: SyncReply = {
            mark: state.watermark(),
            news: state.factsSince(call.mark, this.options.clock.now()),
            routers: this.changedRouters(from),
            report: report(from, undefined),
            number: this.replyCount,
        };
        if (address !== undefined) {
            this.sentReplies.set(formatAddress(address), { number: reply.number, report: reply.report });
        }
        return reply;
    }

    /** Routers with which this process had contact recently; none if unchanged since the connection's last reply. */
    private changedRouters(peer: Hello): readonly InnerAddress[] {
        const routers = this.peers.recentRouters();
        const names = routers.map(formatAddress).join(" ");
        if (this.sentRouters.get(peer) === names) {
            return [];
        }
        this.sentRouters.set(peer, names);
        return routers;
    }
}

/** Interval of exchanges with other routers; it grows with the fleet, so that the rate of exchanges stays bounded. */
export function routerInterval(peers: number, hasPendingReport: boolean): Milliseconds {
    const minInterval = peers * millisecondsPerSecond / routerExchangesPerSecond;
    return Math.max(hasPendingReport ? activeInterval : idleInterval, minInterval);
}

/**
 * Interval of exchanges with agents that another router owns. If it is longer than {@link minAgentInterval}, the owner
 * relays the statuses of their replicas to the other routers.
 */
export function agentInterval(agents: number): Milliseconds {
    const interval = agents * millisecondsPerSecond / agentExchangesPerSecond;
    return Math.min(maxAgentInterval, Math.max(minAgentInterval, interval));
}

/**
 * The peers of a process: when the next exchange with each is due, and which of them are unresponsive.
 *
 * @module
 */
import { type Clock, type Milliseconds, rendezvousScore } from "@redwingpin/common";
import type { InnerAddress } from "@redwingpin/protocol";

/** A reachable router counts as live for at least this time after its last contact. */
const minLiveTime: Milliseconds = 1_500;

/** That time is at least this multiple of the interval of exchanges, which is long in a large fleet. */
const liveIntervals = 2;

/** A router counts as removed after this time without contact; the platform replaces machines within seconds. */
const minRemovalTimeout: Milliseconds = 12_000;

/** That timeout is at least this multiple of the interval of exchanges. */
const removalIntervals = 4;

/** Minimum time without contact after which a router is reported as unheard. */
const minUnheardTime: Milliseconds = 700;

/** That time is at least this multiple of the interval of exchanges. */
const unheardIntervals = 1.5;

/** After this many intervals without a call, a router starts the exchanges that the other one of the pair should start. */
const takeoverIntervals = 3;

/**
 * Maximum time without a call before a router does so, so that it detects an unresponsive peer in time; longer only in a
 * fleet whose interval of exchanges requires it.
 */
const maxTakeoverDelay: Milliseconds = 1_400;

/** In such a fleet, a router waits for this many intervals: less than the time for which the peer counts as live. */
const minTakeoverIntervals = 1.5;

/** Maximum delay between attempts to reach a peer that does not answer. */
const maxRetryDelay: Milliseconds = 2_000;

/**
 * Exchanges with routers that become due at the same time are spread: at this multiple of their average rate, and no more
 * than {@link maxBurst} at once. Those that are urgent are not delayed.
 */
const paceMargin = 1.25;

const maxBurst = 4;

/** Scores are below this value. */
const maxScore = 2 ** 48;

interface Peer {
    readonly address: InnerAddress;
    readonly isRouter: boolean;
    /** True if this process starts the exchanges; false if the peer is a router that starts them. */
    readonly isInitiatedHere: boolean;
    /**
     * Part of an interval by which it comes later in the order of the peers that are due. Other routers have other orders, so
     * that few call one at once.
     */
    readonly orderDelay: number;
    nextDue: Milliseconds;
    /** When this process last started an exchange with it. */
    lastStartAt: Milliseconds;
    /** True if the next exchange was made due before its time. */
    isUrgent: boolean;
    isBusy: boolean;
    failures: number;
    /** True from the first failure to the next answer or call. */
    isUnreachable: boolean;
    lastAnswerAt: Milliseconds;
    /** When it last called or answered. */
    lastContactAt: Milliseconds;
    /** True from the close of a connection to the next call or answer. */
    isDisconnected: boolean;
    /** When another peer last listed it among the routers with which that peer has contact. */
    lastListedAt: Milliseconds;
}

/** Schedules the exchanges with peers and tracks their state. */
export class PeerTable {
    private readonly peers = new Map<string, Peer>();
    /** Interval of the exchanges with routers; `undefined` before the first. */
    private routerInterval: Milliseconds | undefined;
    /** Number of exchanges with routers that may be started now without being urgent. */
    private allowance = maxBurst;
    private allowanceAt: Milliseconds | undefined;

    constructor(private readonly own: InnerAddress, private readonly clock: Clock) {}

    /** Adds routers from the settings; exchanges with them are due immediately. */
    addSeeds(addresses: readonly InnerAddress[]): void {
        for (const address of addresses) {
            this.findOrAdd(address, true);
        }
    }

    /** Adds routers that a peer has contact with. */
    addRouters(addresses: readonly InnerAddress[]): void {
        for (const address of addresses) {
            const isNew = !this.peers.has(formatAddress(address));
            const peer = this.findOrAdd(address, true);
            if (peer !== undefined) {
                peer.lastListedAt = this.clock.now();
                peer.nextDue += isNew && !peer.isInitiatedHere ? this.intervalOf(peer) : 0;
            }
        }
    }

    /** Replaces the agents. */
    setAgents(addresses: readonly InnerAddress[]): void {
        const names = new Set(addresses.map(formatAddress));
        for (const [name, peer] of this.peers) {
            if (!peer.isRouter && !names.has(name)) {
                this.peers.delete(name);
            }
        }
        for (const address of addresses) {
            this.findOrAdd(address, false);
        }
    }

    /** Returns the peers whose exchange is due, and marks each as busy until its answer or failure is recorded. */
    takeDue(
        routerInterval: Milliseconds,
        agentInterval: (address: InnerAddress) => Milliseconds,
    ): InnerAddress[] {
        const now = this.clock.now();
        this.routerInterval = routerInterval;
        this.removeExpired(now);
        const due = this.pace([...this.peers.values()].filter((peer) => !peer.isBusy && peer.nextDue <= now));
        for (const peer of due) {
            peer.isBusy = true;
            peer.isUrgent = false;
            peer.lastStartAt = now;
            peer.nextDue = now + (peer.isRouter ? this.intervalOf(peer) : agentInterval(peer.address));
        }
        return due.map((peer) => peer.address);
    }

    /**
     * Returns the routers that have had no contact for `timeout` or whose connection closed, and marks them as busy. They
     * may have restarted without any state.
     */
    takeDueUnresponsive(interval: Milliseconds, timeout: Milliseconds): InnerAddress[] {
        const now = this.clock.now();
        this.removeExpired(now);
        const due = this.routers()
            .filter((peer) =>
                !peer.isBusy && peer.nextDue <= now
                && (peer.isDisconnected || peer.lastContactAt <= now - timeout)
            );
        for (const peer of due) {
            peer.isBusy = true;
            peer.nextDue = now + interval;
        }
        return due.map((peer) => peer.address);
    }

    /** Records the start of an exchange that was not due; the next one is due an interval later. */
    recordStart(address: InnerAddress): void {
        const peer = this.peers.get(formatAddress(address));
        if (peer !== undefined) {
            peer.isBusy = true;
            peer.lastStartAt = this.clock.now();
            peer.nextDue = this.clock.now() + this.intervalOf(peer);
        }
    }

    /** Records that the connection to a router has closed. */
    recordDisconnect(address: InnerAddress): void {
        const peer = this.peers.get(formatAddress(address));
        if (peer !== undefined) {
            peer.isDisconnected = true;
            peer.nextDue = Math.min(peer.nextDue, this.clock.now());
        }
    }

    /**
     * Makes exchanges with the selected peers due immediately, or `minInterval` after the start of the last one; returns how
     * many were not urgent before.
     */
    makeDue(
        isSelected: (address: InnerAddress, isRouter: boolean) => boolean,
        minInterval: Milliseconds = 0,
    ): number {
        const now = this.clock.now();
        let count = 0;
        for (const peer of this.peers.values()) {
            if (peer.failures === 0 && isSelected(peer.address, peer.isRouter)) {
                peer.nextDue = Math.min(peer.nextDue, Math.max(now, peer.lastStartAt + minInterval));
                count += peer.isUrgent ? 0 : 1;
                peer.isUrgent = true;
            }
        }
        return count;
    }

    /** Records an answer; returns whether it is the first one or the peer had been unreachable. */
    recordAnswer(address: InnerAddress): boolean {
        const peer = this.peers.get(formatAddress(address));
        if (peer === undefined) {
            return false;
        }
        const isNewlyReached = peer.isUnreachable || peer.lastAnswerAt === -Infinity;
        peer.isUnreachable = false;
        peer.isDisconnected = false;
        peer.isBusy = false;
        peer.failures = 0;
        peer.lastAnswerAt = this.clock.now();
        peer.lastContactAt = peer.lastAnswerAt;
        return isNewlyReached;
    }

    /** Records a failure; returns whether it is the first one after an answer. */
    recordFailure(address: InnerAddress): boolean {
        const peer = this.peers.get(formatAddress(address));
        if (peer === undefined) {
            return false;
        }
        peer.isBusy = false;
        peer.failures += 1;
        peer.nextDue = this.clock.now() + Math.min(maxRetryDelay, 100 * 2 ** peer.failures);
        const isFirst = !peer.isUnreachable && peer.lastAnswerAt !== -Infinity;
        peer.isUnreachable = true;
        return isFirst;
    }

    /** Records a call from a router. */
    recordCall(address: InnerAddress): void {
        const peer = this.findOrAdd(address, true);
        if (peer !== undefined) {
            peer.lastContactAt = this.clock.now();
            peer.isDisconnected = false;
            if (!peer.isUnreachable) {
                // The answer to this call carries the same facts as an exchange.
                peer.nextDue = Math.max(peer.nextDue, peer.lastContactAt + this.intervalOf(peer));
            }
            if (peer.failures > 0) {
                // The router calls, so it is reachable again.
                peer.failures = 0;
                peer.isUnreachable = false;
                peer.nextDue = peer.lastContactAt;
            }
        }
    }

    /** Routers that called or answered recently. */
    recentRouters(): InnerAddress[] {
        const since = this.clock.now() - this.removalTimeout;
        return this.routers().filter((peer) => peer.lastContactAt > since).map((peer) => peer.address);
    }

    liveRouters(): InnerAddress[] {
        const now = this.clock.now();
        return this.routers().filter((peer) => this.isLive(peer, now)).map((peer) => peer.address);
    }

    liveRouterNames(): string[] {
        return this.liveRouters().map(formatAddress);
    }

    unresponsiveRouterNames(): string[] {
        const now = this.clock.now();
        return this.routers()
            .filter((peer) => !this.isLive(peer, now) && peer.lastContactAt > now - this.removalTimeout)
            .map((peer) => formatAddress(peer.address));
    }

    unresponsiveRouterCount(): number {
        return this.unresponsiveRouterNames().length;
    }

    /**
     * Names of the routers with which this one has had no contact for some time. Those that no peer has listed for longer
     * either are left out, since they count as removed.
     */
    unheardRouterNames(): string[] {
        const now = this.clock.now();
        const timeout = Math.max(minUnheardTime, unheardIntervals * (this.routerInterval ?? 0));
        return this.routers()
            .filter(({ lastContactAt, lastListedAt }) =>
                now - lastContactAt > timeout
                && now - Math.max(lastContactAt, lastListedAt) < this.removalTimeout
            )
            .map((peer) => formatAddress(peer.address));
    }

    /** Leaves out exchanges with routers that exceed the pace; those that have been due for the longest time go first. */
    private pace(due: readonly Peer[]): readonly Peer[] {
        const now = this.clock.now();
        const elapsed = now - (this.allowanceAt ?? now);
        const rate = paceMargin * this.routers().length / Math.max(1, this.routerInterval ?? 0);
        this.allowance = Math.min(maxBurst, this.allowance + rate * elapsed);
        this.allowanceAt = now;
        const position = ({ nextDue, orderDelay }: Peer) => nextDue + orderDelay * (this.routerInterval ?? 0);
        const isPaced = (peer: Peer) => peer.isRouter && !peer.isUrgent;
        const paced = due.filter(isPaced)
            .sort((left, right) => position(left) - position(right))
            .slice(0, Math.floor(this.allowance));
        this.allowance -= paced.length;
        return [...due.filter((peer) => !isPaced(peer)), ...paced];
    }

    /** Time from one exchange with a router to the next one that this process starts. */
    private intervalOf(peer: Peer): Milliseconds {
        const { routerInterval } = this;
        if (peer.isInitiatedHere) {
            return routerInterval ?? 0;
        }
        if (routerInterval === undefined) {
            return maxTakeoverDelay;
        }
        const maxDelay = Math.max(maxTakeoverDelay, minTakeoverIntervals * routerInterval);
        return Math.min(maxDelay, takeoverIntervals * routerInterval);
    }

    private get removalTimeout(): Milliseconds {
        return Math.max(minRemovalTimeout, removalIntervals * (this.routerInterval ?? 0));
    }

    /** An unreachable router is not live, however recently it has called, since it gets no reports. */
    private isLive(peer: Peer, now: Milliseconds): boolean {
        const liveTime = Math.max(minLiveTime, liveIntervals * (this.routerInterval ?? 0));
        return !peer.isUnreachable && peer.lastContactAt > now - liveTime;
    }

    private routers(): Peer[] {
        return [...this.peers.values()].filter((peer) => peer.isRouter);
    }

    private findOrAdd(address: InnerAddress, isRouter: boolean): Peer | undefined {
        const name = formatAddress(address);
        if (name === formatAddress(this.own)) {
            return undefined;
        }
        const found = this.peers.get(name);
        if (found !== undefined) {
            return found;
        }
        const peer: Peer = {
            address,
            isRouter,
            orderDelay: rendezvousScore(formatAddress(this.own), name) / maxScore,
            isInitiatedHere: !isRouter || isInitiator(formatAddress(this.own), name),
            nextDue: this.clock.now(),
            lastStartAt: -Infinity,
            isUrgent: false,
            isBusy: false,
            failures: 0,
            isUnreachable: false,
            lastAnswerAt: -Infinity,
            lastContactAt: -Infinity,
            isDisconnected: false,
            lastListedAt: this.clock.now(),
        };
        this.peers.set(name, peer);
        return peer;
    }

    /** Removes routers without contact for five times the removal timeout; a peer that lists one adds it again. */
    private removeExpired(now: Milliseconds): void {
        for (const [name, peer] of this.peers) {
            const hadContact = peer.lastContactAt !== -Infinity;
            if (
                peer.isRouter && !peer.isBusy && hadContact
                && peer.lastContactAt < now - 5 * this.removalTimeout
            ) {
                this.peers.delete(name);
            }
        }
    }
}

/** True if `own` starts the exchanges of a pair of routers. Both compute the same; each starts about half of its pairs. */
function isInitiator(own: string, other: string): boolean {
    const [first, second] = own < other ? [own, other] : [other, own];
    const isFirst = rendezvousScore(`${first} ${second}`, "initiator") % 2 === 0;
    return isFirst === (own === first);
}

/** Formats an address as `host:port`, which is the name of a peer. */
export function formatAddress(address: InnerAddress): string {
    return `${address.host}:${address.port}`;
}

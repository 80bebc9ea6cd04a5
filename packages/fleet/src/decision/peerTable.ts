/**
 * Which peers a process talks to, when the next exchange with each is due, and who has fallen silent.
 *
 * @module
 */
import { type Clock, type Milliseconds, rendezvousScore } from "@redwingpin/common";
import type { InnerAddress } from "@redwingpin/protocol";

/** A router that answered within this time counts as live. */
const liveTime: Milliseconds = 1_500;

/** A router that was silent for longer counts as gone; the platform replaces machines within seconds. */
const goneTime: Milliseconds = 12_000;

/** A router that was not heard for this time is missed, in a fleet whose exchanges are more frequent. */
const missedAfter: Milliseconds = 700;

/** Intervals without an exchange after which a router is missed, in a fleet whose exchanges are less frequent. */
const missedIntervals = 1.5;

/** Intervals without a call after which a router makes the exchanges that the other one of the pair should make. */
const patientIntervals = 3;

/** Longest time for which a router leaves the exchanges to the other one: it must notice the silence of a peer. */
const longestPatience: Milliseconds = 1_400;

/** Longest pause between attempts to reach a peer that gives no answer. */
const longestPause: Milliseconds = 2_000;

interface Peer {
    readonly address: InnerAddress;
    readonly isRouter: boolean;
    /** False where the peer is a router that makes the exchanges of the pair. */
    readonly isInitiated: boolean;
    nextDue: Milliseconds;
    busy: boolean;
    failures: number;
    /** True from the first failure to the next answer. */
    isLost: boolean;
    answeredAt: Milliseconds;
    heardAt: Milliseconds;
    /** True from the end of a connection to the next call or answer. */
    isDisconnected: boolean;
    /** When it last called, answered, or was named by a peer that hears it. */
    knownAt: Milliseconds;
}

/** The peers of a process. */
export class PeerTable {
    private readonly peers = new Map<string, Peer>();
    /** Interval of the exchanges with routers; `undefined` before the first. */
    private routerInterval: Milliseconds | undefined;

    constructor(private readonly own: InnerAddress, private readonly clock: Clock) {}

    /** Adds routers that the settings name; they are asked at once. */
    addSeeds(addresses: readonly InnerAddress[]): void {
        for (const address of addresses) {
            this.ensure(address, true);
        }
    }

    /** Adds routers that a peer hears from and that are not known yet. */
    addRouters(addresses: readonly InnerAddress[]): void {
        for (const address of addresses) {
            const isNew = !this.peers.has(formatAddress(address));
            const peer = this.ensure(address, true);
            if (peer !== undefined) {
                peer.knownAt = this.clock.now();
                peer.nextDue += isNew && !peer.isInitiated ? this.pauseOf(peer) : 0;
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
            this.ensure(address, false);
        }
    }

    /** Takes the peers whose exchange is due; each is busy until it answered or failed. */
    due(
        routerInterval: Milliseconds,
        agentInterval: (address: InnerAddress) => Milliseconds,
    ): InnerAddress[] {
        const now = this.clock.now();
        this.routerInterval = routerInterval;
        this.dropGone(now);
        const due = [...this.peers.values()].filter((peer) => !peer.busy && peer.nextDue <= now);
        for (const peer of due) {
            peer.busy = true;
            peer.nextDue = now + (peer.isRouter ? this.pauseOf(peer) : agentInterval(peer.address));
        }
        return due.map((peer) => peer.address);
    }

    /**
     * Takes the routers that have been silent for `silence` or whose connection closed; they may have restarted without
     * knowing anything.
     */
    dueSilent(interval: Milliseconds, silence: Milliseconds): InnerAddress[] {
        const now = this.clock.now();
        this.dropGone(now);
        const due = this.routers()
            .filter((peer) =>
                !peer.busy && peer.nextDue <= now && (peer.isDisconnected || peer.heardAt <= now - silence)
            );
        for (const peer of due) {
            peer.busy = true;
            peer.nextDue = now + interval;
        }
        return due.map((peer) => peer.address);
    }

    /** Notes that an exchange with a router begins that was not due; it stands for the next one that is. */
    begin(address: InnerAddress): void {
        const peer = this.peers.get(formatAddress(address));
        if (peer !== undefined) {
            peer.busy = true;
            peer.nextDue = this.clock.now() + this.pauseOf(peer);
        }
    }

    /** Notes that a connection to a router has closed. */
    connectionClosed(address: InnerAddress): void {
        const peer = this.peers.get(formatAddress(address));
        if (peer !== undefined) {
            peer.isDisconnected = true;
            peer.nextDue = Math.min(peer.nextDue, this.clock.now());
        }
    }

    /** Makes exchanges with the chosen peers due at once. */
    makeDue(isChosen: (address: InnerAddress, isRouter: boolean) => boolean): void {
        for (const peer of this.peers.values()) {
            if (peer.failures === 0 && isChosen(peer.address, peer.isRouter)) {
                peer.nextDue = this.clock.now();
            }
        }
    }

    /** Notes an answer; returns whether the peer had been out of reach. */
    answered(address: InnerAddress): boolean {
        const peer = this.peers.get(formatAddress(address));
        if (peer === undefined) {
            return false;
        }
        const regained = peer.isLost || peer.answeredAt === -Infinity;
        peer.isLost = false;
        peer.isDisconnected = false;
        peer.busy = false;
        peer.failures = 0;
        peer.answeredAt = this.clock.now();
        peer.heardAt = peer.answeredAt;
        return regained;
    }

    /** Notes a failure; returns whether it is the first after answers. */
    failed(address: InnerAddress): boolean {
        const peer = this.peers.get(formatAddress(address));
        if (peer === undefined) {
            return false;
        }
        peer.busy = false;
        peer.failures += 1;
        peer.nextDue = this.clock.now() + Math.min(longestPause, 100 * 2 ** peer.failures);
        const isFirst = !peer.isLost && peer.answeredAt !== -Infinity;
        peer.isLost = true;
        return isFirst;
    }

    /** Notes a call from a router. */
    recordCall(address: InnerAddress): void {
        const peer = this.ensure(address, true);
        if (peer !== undefined) {
            peer.heardAt = this.clock.now();
            peer.isDisconnected = false;
            if (!peer.isLost) {
                // The answer tells it all that is known here.
                peer.nextDue = Math.max(peer.nextDue, peer.heardAt + this.pauseOf(peer));
            }
            if (peer.failures > 0) {
                // It calls, so it can be reached again.
                peer.failures = 0;
                peer.isLost = false;
                peer.nextDue = peer.heardAt;
            }
        }
    }

    /** Routers that called or answered lately. */
    routersHeard(): InnerAddress[] {
        const since = this.clock.now() - goneTime;
        return this.routers().filter((peer) => peer.heardAt > since).map((peer) => peer.address);
    }

    liveRouters(): InnerAddress[] {
        const now = this.clock.now();
        return this.routers().filter((peer) => isLive(peer, now)).map((peer) => peer.address);
    }

    liveRouterNames(): string[] {
        return this.liveRouters().map(formatAddress);
    }

    unresponsiveRouters(): number {
        const now = this.clock.now();
        return this.routers().filter((peer) => !isLive(peer, now) && peer.heardAt > now - goneTime).length;
    }

    /** Names of routers that run, as far as is known, and that this one has not heard for a while. */
    unheardRouterNames(): string[] {
        const now = this.clock.now();
        const silence = Math.max(missedAfter, missedIntervals * (this.routerInterval ?? 0));
        return this.routers()
            .filter(({ heardAt, knownAt }) =>
                now - heardAt > silence && now - Math.max(heardAt, knownAt) < goneTime
            )
            .map((peer) => formatAddress(peer.address));
    }

    /** Time from one exchange with a router to the next one that this process makes. */
    private pauseOf(peer: Peer): Milliseconds {
        const { routerInterval } = this;
        if (peer.isInitiated) {
            return routerInterval ?? 0;
        }
        return routerInterval === undefined
            ? longestPatience
            : Math.min(longestPatience, patientIntervals * routerInterval);
    }

    private routers(): Peer[] {
        return [...this.peers.values()].filter((peer) => peer.isRouter);
    }

    private ensure(address: InnerAddress, isRouter: boolean): Peer | undefined {
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
            isInitiated: !isRouter || initiates(formatAddress(this.own), name),
            nextDue: this.clock.now(),
            busy: false,
            failures: 0,
            isLost: false,
            answeredAt: -Infinity,
            heardAt: -Infinity,
            isDisconnected: false,
            knownAt: this.clock.now(),
        };
        this.peers.set(name, peer);
        return peer;
    }

    /** Forgets routers that have been silent for long and that nobody names any more. */
    private dropGone(now: Milliseconds): void {
        for (const [name, peer] of this.peers) {
            const wasHeard = peer.heardAt !== -Infinity;
            if (peer.isRouter && !peer.busy && wasHeard && peer.heardAt < now - 5 * goneTime) {
                this.peers.delete(name);
            }
        }
    }
}

/** A router that can not be reached gets no reports, however lately it was heard. */
function isLive(peer: Peer, now: Milliseconds): boolean {
    return !peer.isLost && peer.heardAt > now - liveTime;
}

/** True where `own` makes the exchanges of a pair of routers; both work it out alike, and each calls about half. */
function initiates(own: string, other: string): boolean {
    const [first, second] = own < other ? [own, other] : [other, own];
    const isFirst = rendezvousScore(`${first} ${second}`, "initiator") % 2 === 0;
    return isFirst === (own === first);
}

/** Name of a peer: its address. */
export function formatAddress(address: InnerAddress): string {
    return `${address.host}:${address.port}`;
}

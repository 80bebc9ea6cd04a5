/**
 * The task that maintains the roster: reads it at the start from the store and from other processes in parallel, and
 * reassigns the positions of departed routers. A change spreads with other messages: every token request and every
 * grant carries the epoch of its sender, and a router that is behind fetches the roster from the one that is ahead. A
 * router that gains positions is notified immediately.
 *
 * @module
 */
import { type CancelTimer, type Clock, type Logger, rendezvousOrder } from "@redwingpin/common";
import type { KeyValueStore, StoreEntry } from "@redwingpin/outside";
import { type RateMessage, RateMessageKind, type RateRoster } from "@redwingpin/protocol";
import {
    rosterCacheCheckMilliseconds,
    rosterCachesPerRouter,
    rosterCallTimeoutMilliseconds,
    rosterKey,
    rosterRepairStaggerMilliseconds,
    rosterRetryMilliseconds,
    rosterSourceRouters,
    rosterStartupGraceMilliseconds,
} from "../constants.js";
import { DepartureDetector } from "../decision/departureDetector.js";
import {
    decodeRoster,
    emptyRoster,
    encodeRoster,
    repairRoster,
    type Roster,
    type RouterMember,
} from "../decision/roster.js";
import type { RatePeers } from "./admissionOptions.js";
import { callPeer } from "./peerCall.js";

/** Options of {@link RosterRepairTask}. */
export interface RosterRepairTaskOptions {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly peers: RatePeers;
    /** Agents that can cache the roster. */
    readonly agents: () => readonly string[];
    readonly logger: Logger;
    /** Called with each newer roster. */
    readonly onRoster: (roster: Roster) => void;
}

/** Maintains the newest roster known to this process. */
export class RosterRepairTask {
    private roster: Roster | undefined;
    private members: readonly RouterMember[] = [];
    private readonly departureDetector = new DepartureDetector();
    private readonly cancels = new Set<CancelTimer>();
    private readonly startedAt: number;
    private departed: ReadonlySet<string> = new Set();
    private repairScheduled = false;
    private released = false;
    private stopped = false;

    constructor(private readonly options: RosterRepairTaskOptions) {
        this.startedAt = options.clock.now();
    }

    /** Starts reading the roster. */
    start(): void {
        void this.readUntilKnown();
        void this.checkCaches();
    }

    /** The newest roster known, or `undefined` before the first. */
    get current(): Roster | undefined {
        return this.roster;
    }

    /** The roster as a message. */
    message(): RateRoster {
        return this.roster === undefined
            ? { kind: RateMessageKind.Roster, epoch: 0 }
            : { kind: RateMessageKind.Roster, epoch: this.roster.epoch, text: encodeRoster(this.roster) };
    }

    /** Adopts the roster of a message if it is newer. */
    adoptMessage(message: RateRoster): void {
        if (message.text !== undefined && message.epoch > (this.roster?.epoch ?? 0)) {
            this.adoptText(message.text);
        }
    }

    /** Fetches the roster from `instance` if the epoch it sent is newer. */
    async fetchIfNewer(instance: string, epoch: number): Promise<void> {
        if (epoch > (this.roster?.epoch ?? 0)) {
            await this.requestRoster(instance);
        }
    }

    /** Processes one version of the VM list. */
    updateMembers(members: readonly RouterMember[]): void {
        this.members = members;
        this.departed = this.departureDetector.observe(
            this.roster ?? emptyRoster,
            members,
            this.options.clock.now(),
        );
        if (this.roster === undefined) {
            // A router that starts while the store is down gets the roster from these members, and needs it immediately.
            void this.requestFromSources();
        }
        if (members.length > 0 && this.proposeRepair(this.roster ?? emptyRoster) !== undefined) {
            this.scheduleRepair();
        }
    }

    /** True if the VM list shows that this router's VM is leaving. */
    get isVmLeaving(): boolean {
        return this.members.some((member) => member.instance === this.options.instance && member.leaving);
    }

    /** Releases this router's positions for good; resolves to true if the store shows it. */
    async release(): Promise<boolean> {
        this.released = true;
        return await this.repair();
    }

    /** Stops the task. */
    stop(): void {
        this.stopped = true;
        for (const cancel of this.cancels) {
            cancel();
        }
        this.cancels.clear();
    }

    private async readUntilKnown(): Promise<void> {
        while (!this.stopped) {
            const requests = this.roster === undefined ? this.requestFromSources() : Promise.resolve();
            const [known] = await Promise.all([this.readStore(), requests]);
            if (known) {
                return;
            }
            await this.delay(rosterRetryMilliseconds);
        }
    }

    private async readStore(): Promise<boolean> {
        const entry = await this.options.store.read(rosterKey);
        if (entry.isErr()) {
            this.options.logger.warn("failed to read the roster", { error: entry.error.message });
            return false;
        }
        this.adoptEntry(entry.value);
        return true;
    }

    private async requestFromSources(): Promise<void> {
        const { instance } = this.options;
        const routers = this.members.map((member) => member.instance).filter((name) => name !== instance);
        const sources = rendezvousOrder(instance, routers, (name) => name).slice(0, rosterSourceRouters);
        await Promise.all([...this.selectCaches(), ...sources].map((source) => this.requestRoster(source)));
    }

    private selectCaches(): string[] {
        return rendezvousOrder(this.options.instance, this.options.agents(), (name) => name).slice(
            0,
            rosterCachesPerRouter,
        );
    }

    private async checkCaches(): Promise<void> {
        while (!this.stopped) {
            await this.delay(rosterCacheCheckMilliseconds);
            await this.updateCaches();
        }
    }

    /** Sends the roster to those agents that cache it for this router and have an older one. */
    private async updateCaches(): Promise<void> {
        await Promise.all(this.selectCaches().map((cache) => this.updateCache(cache)));
    }

    private async updateCache(cache: string): Promise<void> {
        const message = this.message();
        const known = await this.call(cache, { kind: RateMessageKind.Roster, epoch: message.epoch });
        if (known?.kind === RateMessageKind.Roster && known.epoch < message.epoch) {
            await this.call(cache, message);
        }
    }

    private async requestRoster(instance: string): Promise<void> {
        const answer = await this.call(instance, { kind: RateMessageKind.RosterRequest });
        if (answer?.kind === RateMessageKind.Roster) {
            this.adoptMessage(answer);
        }
    }

    private call(instance: string, message: RateMessage): Promise<RateMessage | undefined> {
        const { clock, peers } = this.options;
        return callPeer({ clock, peers, instance, message, timeout: rosterCallTimeoutMilliseconds });
    }

    private scheduleRepair(): void {
        if (this.repairScheduled) {
            return;
        }
        this.repairScheduled = true;
        const names = this.members.map((member) => member.instance).sort();
        const rank = Math.max(0, names.indexOf(this.options.instance));
        void this.delay(rank * rosterRepairStaggerMilliseconds).then(async () => {
            this.repairScheduled = false;
            if (this.proposeRepair(this.roster ?? emptyRoster) !== undefined) {
                await this.repair();
            }
        });
    }

    /** Tries once to write what {@link repairRoster} proposes. Resolves to true if nothing is left to change. */
    private async repair(): Promise<boolean> {
        const entry = await this.options.store.read(rosterKey);
        if (entry.isErr() || this.stopped) {
            return false;
        }
        this.adoptEntry(entry.value);
        const proposal = this.proposeRepair(this.roster ?? emptyRoster);
        if (proposal === undefined) {
            return true;
        }
        const value = new TextEncoder().encode(encodeRoster(proposal));
        const swap = await this.options.store.compareAndSwap(rosterKey, entry.value?.modRevision ?? 0, value);
        if (swap.isErr()) {
            this.options.logger.warn("failed to write the roster", { error: swap.error.message });
            return false;
        }
        if (!swap.value.swapped) {
            this.adoptEntry(swap.value.current);
            return false;
        }
        this.options.logger.info("roster written", { epoch: proposal.epoch });
        this.notifyNewHolders(this.roster ?? emptyRoster, proposal);
        this.adopt(proposal);
        return true;
    }

    private notifyNewHolders(before: Roster, after: Roster): void {
        const gained = after.holders.filter((holder, position) => holder !== before.holders[position]);
        const newHolders = new Set(gained.filter((holder) => holder !== undefined));
        newHolders.delete(this.options.instance);
        const message: RateRoster = {
            kind: RateMessageKind.Roster,
            epoch: after.epoch,
            text: encodeRoster(after),
        };
        for (const newHolder of newHolders) {
            void this.call(newHolder, message);
        }
    }

    private proposeRepair(roster: Roster): Roster | undefined {
        const age = this.options.clock.now() - this.startedAt;
        return repairRoster(roster, {
            members: this.members,
            departed: this.departed,
            reserveForNewRouters: age < rosterStartupGraceMilliseconds,
            released: this.released ? this.options.instance : undefined,
        });
    }

    private adoptEntry(entry: StoreEntry | undefined): void {
        if (entry !== undefined) {
            this.adoptText(new TextDecoder().decode(entry.value));
        }
    }

    private adoptText(text: string): void {
        decodeRoster(text).match(
            (roster) => this.adopt(roster),
            (message) => this.options.logger.error("failed to decode the roster", { error: message }),
        );
    }

    private adopt(roster: Roster): void {
        if (this.stopped || roster.epoch <= (this.roster?.epoch ?? 0)) {
            return;
        }
        const gainsPositions = this.gainsPositions(roster);
        this.roster = roster;
        this.options.onRoster(roster);
        if (gainsPositions) {
            void this.updateCaches();
        }
    }

    private gainsPositions(roster: Roster): boolean {
        const { instance } = this.options;
        return roster.holders.some((holder, position) =>
            holder === instance && this.roster?.holders[position] !== instance
        );
    }

    private delay(duration: number): Promise<void> {
        return new Promise((resolve) => {
            const cancel = this.options.clock.schedule(duration, () => {
                this.cancels.delete(cancel);
                resolve();
            });
            this.cancels.add(cancel);
        });
    }
}

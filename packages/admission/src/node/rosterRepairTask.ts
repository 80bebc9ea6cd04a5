/**
 * The task that keeps the roster: reads it at the start from the store and from other processes at once, and passes
 * on the positions of gone routers. Changes spread by contact: every ask and every grant carries the epoch of its
 * sender, and who is behind fetches the roster from who is ahead. Whoever gains positions is told at once.
 *
 * @module
 */
import { type CancelTimer, type Clock, type Logger, rendezvousOrder } from "@redwingpin/common";
import type { KeyValueStore, StoreEntry } from "@redwingpin/outside";
import { type RateMessage, RateMessageKind, type RateRoster } from "@redwingpin/protocol";
import {
    rosterCacheCheckMilliseconds,
    rosterCaches,
    rosterCallMilliseconds,
    rosterGraceMilliseconds,
    rosterKey,
    rosterRetryMilliseconds,
    rosterSourceRouters,
    rosterTurnMilliseconds,
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
    /** Agents that can keep the roster. */
    readonly agents: () => readonly string[];
    readonly logger: Logger;
    /** Called with each newer roster. */
    readonly onRoster: (roster: Roster) => void;
}

/** Keeps the newest roster that this process knows. */
export class RosterRepairTask {
    private roster: Roster | undefined;
    private members: readonly RouterMember[] = [];
    private readonly goneWatch = new DepartureDetector();
    private readonly cancels = new Set<CancelTimer>();
    private readonly startedAt: number;
    private gone: ReadonlySet<string> = new Set();
    private repairScheduled = false;
    private released = false;
    private stopped = false;

    constructor(private readonly options: RosterRepairTaskOptions) {
        this.startedAt = options.clock.now();
    }

    /** Starts to read the roster. */
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

    /** Takes over the roster of a message if it is newer. */
    adoptMessage(message: RateRoster): void {
        if (message.text !== undefined && message.epoch > (this.roster?.epoch ?? 0)) {
            this.adoptText(message.text);
        }
    }

    /** Fetches the roster of `instance`, which has shown a newer epoch. */
    async catchUp(instance: string, epoch: number): Promise<void> {
        if (epoch > (this.roster?.epoch ?? 0)) {
            await this.askForRoster(instance);
        }
    }

    /** Takes in one reading of the VM list. */
    membersRead(members: readonly RouterMember[]): void {
        this.members = members;
        this.gone = this.goneWatch.observe(this.roster ?? emptyRoster, members, this.options.clock.now());
        if (this.roster === undefined) {
            // The first members are the first sources: a router that starts while the store is down needs them at once.
            void this.askSources();
        }
        if (members.length > 0 && this.repaired(this.roster ?? emptyRoster) !== undefined) {
            this.scheduleRepair();
        }
    }

    /** True where the VM list shows that this router's VM leaves. */
    get vmLeaves(): boolean {
        return this.members.some((member) => member.instance === this.options.instance && member.leaving);
    }

    /** Gives up this router's positions for good; resolves once the store shows it or cannot be reached. */
    async release(): Promise<boolean> {
        this.released = true;
        return await this.repair();
    }

    /** Ends the task. */
    stop(): void {
        this.stopped = true;
        for (const cancel of this.cancels) {
            cancel();
        }
        this.cancels.clear();
    }

    private async readUntilKnown(): Promise<void> {
        while (!this.stopped) {
            const asking = this.roster === undefined ? this.askSources() : Promise.resolve();
            const [known] = await Promise.all([this.readStore(), asking]);
            if (known) {
                return;
            }
            await this.pause(rosterRetryMilliseconds);
        }
    }

    private async readStore(): Promise<boolean> {
        const entry = await this.options.store.read(rosterKey);
        if (entry.isErr()) {
            this.options.logger.warn("roster cannot be read", { error: entry.error.message });
            return false;
        }
        this.adoptEntry(entry.value);
        return true;
    }

    private async askSources(): Promise<void> {
        const { instance } = this.options;
        const routers = this.members.map((member) => member.instance).filter((name) => name !== instance);
        const chosen = rendezvousOrder(instance, routers, (name) => name).slice(0, rosterSourceRouters);
        await Promise.all([...this.caches(), ...chosen].map((source) => this.askForRoster(source)));
    }

    private caches(): string[] {
        return rendezvousOrder(this.options.instance, this.options.agents(), (name) => name).slice(
            0,
            rosterCaches,
        );
    }

    private async checkCaches(): Promise<void> {
        while (!this.stopped) {
            await this.pause(rosterCacheCheckMilliseconds);
            await this.offerToCaches();
        }
    }

    /** Brings the roster to the agents that keep it for this router. */
    private async offerToCaches(): Promise<void> {
        await Promise.all(this.caches().map((cache) => this.offerTo(cache)));
    }

    private async offerTo(cache: string): Promise<void> {
        const offer = this.message();
        const known = await this.call(cache, { kind: RateMessageKind.Roster, epoch: offer.epoch });
        if (known?.kind === RateMessageKind.Roster && known.epoch < offer.epoch) {
            await this.call(cache, offer);
        }
    }

    private async askForRoster(instance: string): Promise<void> {
        const answer = await this.call(instance, { kind: RateMessageKind.RosterRequest });
        if (answer?.kind === RateMessageKind.Roster) {
            this.adoptMessage(answer);
        }
    }

    private call(instance: string, message: RateMessage): Promise<RateMessage | undefined> {
        const { clock, peers } = this.options;
        return callPeer({ clock, peers, instance, message, timeout: rosterCallMilliseconds });
    }

    private scheduleRepair(): void {
        if (this.repairScheduled) {
            return;
        }
        this.repairScheduled = true;
        const names = this.members.map((member) => member.instance).sort();
        const turn = Math.max(0, names.indexOf(this.options.instance));
        void this.pause(turn * rosterTurnMilliseconds).then(async () => {
            this.repairScheduled = false;
            if (this.repaired(this.roster ?? emptyRoster) !== undefined) {
                await this.repair();
            }
        });
    }

    /** One attempt to write what {@link repairRoster} proposes. True where nothing is left to be changed. */
    private async repair(): Promise<boolean> {
        const entry = await this.options.store.read(rosterKey);
        if (entry.isErr() || this.stopped) {
            return false;
        }
        this.adoptEntry(entry.value);
        const proposal = this.repaired(this.roster ?? emptyRoster);
        if (proposal === undefined) {
            return true;
        }
        const value = new TextEncoder().encode(encodeRoster(proposal));
        const swap = await this.options.store.compareAndSwap(rosterKey, entry.value?.modRevision ?? 0, value);
        if (swap.isErr()) {
            this.options.logger.warn("roster cannot be written", { error: swap.error.message });
            return false;
        }
        if (!swap.value.swapped) {
            this.adoptEntry(swap.value.current);
            return false;
        }
        this.options.logger.info("roster written", { epoch: proposal.epoch });
        this.tellGainers(this.roster ?? emptyRoster, proposal);
        this.adopt(proposal);
        return true;
    }

    private tellGainers(before: Roster, after: Roster): void {
        const gained = after.holders.filter((holder, position) => holder !== before.holders[position]);
        const gainers = new Set(gained.filter((holder) => holder !== undefined));
        gainers.delete(this.options.instance);
        const message: RateRoster = {
            kind: RateMessageKind.Roster,
            epoch: after.epoch,
            text: encodeRoster(after),
        };
        for (const gainer of gainers) {
            void this.call(gainer, message);
        }
    }

    private repaired(roster: Roster): Roster | undefined {
        const age = this.options.clock.now() - this.startedAt;
        return repairRoster(roster, {
            members: this.members,
            gone: this.gone,
            leaveRoom: age < rosterGraceMilliseconds,
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
            (message) => this.options.logger.error("roster is not usable", { error: message }),
        );
    }

    private adopt(roster: Roster): void {
        if (this.stopped || roster.epoch <= (this.roster?.epoch ?? 0)) {
            return;
        }
        const gained = this.hasGained(roster);
        this.roster = roster;
        this.options.onRoster(roster);
        if (gained) {
            void this.offerToCaches();
        }
    }

    private hasGained(roster: Roster): boolean {
        const { instance } = this.options;
        return roster.holders.some((holder, position) =>
            holder === instance && this.roster?.holders[position] !== instance
        );
    }

    private pause(duration: number): Promise<void> {
        return new Promise((resolve) => {
            const cancel = this.options.clock.schedule(duration, () => {
                this.cancels.delete(cancel);
                resolve();
            });
            this.cancels.add(cancel);
        });
    }
}

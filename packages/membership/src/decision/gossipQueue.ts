/**
 * News that wait to ride on messages: the least often sent go first, and each is sent a bounded number of times.
 *
 * @module
 */
import type { MemberEntry } from "@redwingpin/protocol";
import { updateRepeats, updatesPerMessage } from "../constants.js";

interface QueuedNews {
    readonly entry: MemberEntry;
    sent: number;
}

/** The queue of one process; newer news of a member replace older ones. */
export class GossipQueue {
    private readonly queue = new Map<string, QueuedNews>();

    add(entry: MemberEntry): void {
        this.queue.delete(entry.instance);
        this.queue.set(entry.instance, { entry, sent: 0 });
    }

    /** News for the next message to one of `routers` routers. */
    take(routers: number): MemberEntry[] {
        const repeats = updateRepeats * Math.ceil(Math.log2(routers + 2));
        const chosen = [...this.queue.values()]
            .sort((left, right) => left.sent - right.sent)
            .slice(0, updatesPerMessage);
        for (const news of chosen) {
            news.sent++;
            if (news.sent >= repeats) {
                this.queue.delete(news.entry.instance);
            }
        }
        return chosen.map((news) => news.entry);
    }
}

/**
 * Membership updates to be piggybacked on messages. The least often sent ones go first, and each is sent a limited
 * number of times.
 *
 * @module
 */
import type { MemberEntry } from "@redwingpin/protocol";
import { updateRepeats, updatesPerMessage } from "../constants.js";

interface QueuedUpdate {
    readonly entry: MemberEntry;
    sent: number;
}

/** The update queue of one process. A newer update of a member replaces an older one. */
export class GossipQueue {
    private readonly queue = new Map<string, QueuedUpdate>();

    add(entry: MemberEntry): void {
        this.queue.delete(entry.instance);
        this.queue.set(entry.instance, { entry, sent: 0 });
    }

    /** Selects the updates for the next message; `routers` is the number of live routers. */
    take(routers: number): MemberEntry[] {
        const repeats = updateRepeats * Math.ceil(Math.log2(routers + 2));
        const selected = [...this.queue.values()]
            .sort((left, right) => left.sent - right.sent)
            .slice(0, updatesPerMessage);
        for (const update of selected) {
            update.sent++;
            if (update.sent >= repeats) {
                this.queue.delete(update.entry.instance);
            }
        }
        return selected.map((update) => update.entry);
    }
}

/**
 * Caches the newest roster at a process that is not a router, so that routers that all restart at the same time can
 * get it while the store is down. An old roster is safe to serve, because a router that finds itself in it still holds
 * its positions.
 *
 * @module
 */
import { type RateMessage, RateMessageKind, type RateRoster } from "@redwingpin/protocol";

/** An agent's handler for the rates topic. */
export class RosterCache {
    private roster: RateRoster = { kind: RateMessageKind.Roster, epoch: 0 };

    /** Answers a message on the rates topic; `undefined` for messages that only a router can answer. */
    handle(message: RateMessage): RateMessage | undefined {
        switch (message.kind) {
            case RateMessageKind.RosterRequest:
                return this.roster;
            case RateMessageKind.Roster:
                this.storeIfNewer(message);
                return { kind: RateMessageKind.Roster, epoch: this.roster.epoch };
            case RateMessageKind.Ask:
            case RateMessageKind.Grant:
            case RateMessageKind.Return:
            case RateMessageKind.Acknowledge:
                return undefined;
        }
    }

    private storeIfNewer(message: RateRoster): void {
        if (message.text !== undefined && message.epoch > this.roster.epoch) {
            this.roster = message;
        }
    }
}

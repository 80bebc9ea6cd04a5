/**
 * Keeps the newest roster at a process that is no router, so that routers that all restart at once find it again
 * while the store is down. An old roster is safe to serve: see {@link Roster}.
 *
 * @module
 */
import { type RateMessage, RateMessageKind, type RateRoster } from "@redwingpin/protocol";

/** The rates topic's handler of an agent. */
export class RosterCache {
    private roster: RateRoster = { kind: RateMessageKind.Roster, epoch: 0 };

    /** Answers a message on the rates topic; `undefined` where a process that is no router has no answer. */
    handle(message: RateMessage): RateMessage | undefined {
        switch (message.kind) {
            case RateMessageKind.RosterRequest:
                return this.roster;
            case RateMessageKind.Roster:
                this.keep(message);
                return { kind: RateMessageKind.Roster, epoch: this.roster.epoch };
            case RateMessageKind.Ask:
            case RateMessageKind.Grant:
            case RateMessageKind.Return:
            case RateMessageKind.Acknowledge:
                return undefined;
        }
    }

    private keep(message: RateRoster): void {
        if (message.text !== undefined && message.epoch > this.roster.epoch) {
            this.roster = message;
        }
    }
}

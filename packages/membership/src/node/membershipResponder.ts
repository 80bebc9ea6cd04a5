/**
 * An agent's part in membership: it answers pings and reports whether it is leaving.
 *
 * @module
 */
import {
    isMembershipCall,
    type MemberEntry,
    type MembershipAcknowledgement,
    MembershipMessageKind,
    MemberState,
} from "@redwingpin/protocol";
import { supersedes } from "../decision/memberTable.js";

/** Answers pings for an agent. */
export class MembershipResponder {
    private own: MemberEntry;

    constructor(own: Omit<MemberEntry, "state">) {
        this.own = { ...own, state: MemberState.Alive };
    }

    /** Sets the port in this process's entry. */
    setPort(port: number): void {
        this.own = { ...this.own, port };
    }

    /** Marks this process as leaving in all further answers. */
    leave(): void {
        this.own = { ...this.own, state: MemberState.Leaving };
    }

    /** Answers a call on the membership topic; returns `undefined` if the body is malformed or not a ping. */
    handle(body: unknown): MembershipAcknowledgement | undefined {
        if (!isMembershipCall(body) || body.kind !== MembershipMessageKind.Ping) {
            return undefined;
        }
        const { about } = body;
        if (about?.instance === this.own.instance && supersedes(about, this.own)) {
            this.own = { ...this.own, epoch: about.epoch + 1 };
        }
        return { kind: MembershipMessageKind.Acknowledgement, member: this.own, news: [] };
    }
}

/**
 * The part of an agent in membership: it answers pings and says whether it leaves.
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

/** Answers pings at an agent. */
export class MembershipResponder {
    private own: MemberEntry;

    constructor(own: Omit<MemberEntry, "state">) {
        this.own = { ...own, state: MemberState.Alive };
    }

    /** States the port on which this process listens. */
    listensOn(port: number): void {
        this.own = { ...this.own, port };
    }

    /** From now on answers say that this process leaves. */
    leave(): void {
        this.own = { ...this.own, state: MemberState.Leaving };
    }

    /** Answers the body of a call on the membership topic; `undefined` where it is malformed. */
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

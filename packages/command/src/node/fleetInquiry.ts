/**
 * Asks every process of the VM list for its revision and status.
 *
 * @module
 */
import { type Milliseconds, silentLogger, systemClock } from "@redwingpin/common";
import { createVirtualMachineList, type VirtualMachine } from "@redwingpin/outside";
import {
    InnerNode,
    isOperatorStatus,
    OperatorMessageKind,
    type OperatorStatus,
    ProcessRole,
    Topic,
} from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { FleetSettings } from "../commandSettings.js";
import type { ProcessReport } from "../fleetSummary.js";

const answerTimeout: Milliseconds = 2_000;

/** Processes that are asked at once. */
const concurrentInquiries = 64;

/** An operator's connection to the fleet; it must be closed at the end. */
export class FleetInquiry {
    private readonly node: InnerNode;
    private readonly revisions = new Map<string, number>();
    private readonly list: ReturnType<typeof createVirtualMachineList>;

    constructor(settings: FleetSettings) {
        this.list = createVirtualMachineList({
            address: settings.virtualMachineListAddress,
            clock: systemClock,
        });
        this.node = new InnerNode({
            role: ProcessRole.Operator,
            instance: `operator-${randomUUID()}`,
            incarnation: randomUUID(),
            fleetKeys: settings.fleetKeys,
            clock: systemClock,
            logger: silentLogger,
            revision: () => 0,
            onRevision: (peer, revision) => this.revisions.set(peer.instance, revision),
            onMessage: () => {},
            onClosed: () => {},
        });
    }

    /** Asks every process of the list; fails only where the list itself gives no answer. */
    async ask(): Promise<Result<ProcessReport[], string>> {
        const machines = await this.list.read();
        if (machines.isErr()) {
            return err(machines.error);
        }
        const waiting = [...machines.value];
        const reports: ProcessReport[] = [];
        const askNext = async (): Promise<void> => {
            for (let machine = waiting.shift(); machine !== undefined; machine = waiting.shift()) {
                reports.push(await this.askOne(machine));
            }
        };
        await Promise.all(Array.from({ length: concurrentInquiries }, askNext));
        return ok(reports.sort((left, right) => left.machine.instance < right.machine.instance ? -1 : 1));
    }

    async close(): Promise<void> {
        this.node.stop();
        await this.list.close();
    }

    private async askOne(machine: VirtualMachine): Promise<ProcessReport> {
        const connection = await this.node.connect(machine);
        if (connection.isErr()) {
            return { machine, revision: undefined, status: undefined, failure: connection.error.message };
        }
        const { instance } = connection.value.peer;
        if (instance !== machine.instance) {
            const failure = `instance "${instance}" answers at the address of "${machine.instance}"`;
            return { machine, revision: undefined, status: undefined, failure };
        }
        const answer = await connection.value.call(
            Topic.Operator,
            { kind: OperatorMessageKind.Status },
            answerTimeout,
        );
        if (answer.isErr()) {
            return { machine, revision: undefined, status: undefined, failure: answer.error.message };
        }
        const status: OperatorStatus | undefined = isOperatorStatus(answer.value) ? answer.value : undefined;
        return { machine, revision: this.revisions.get(instance), status, failure: "" };
    }
}

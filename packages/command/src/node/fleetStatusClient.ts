/**
 * Requests the revision and status of every process in the VM list.
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

/** Maximum number of processes that are queried concurrently. */
const maxConcurrentQueries = 64;

/** Client of the processes' operator interface. It must be closed after use. */
export class FleetStatusClient {
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

    /** Collects a report from each process in the VM list. Fails only if the list cannot be read. */
    async collectReports(): Promise<Result<ProcessReport[], string>> {
        const machines = await this.list.read();
        if (machines.isErr()) {
            return err(machines.error);
        }
        const remaining = [...machines.value];
        const reports: ProcessReport[] = [];
        const queryNext = async (): Promise<void> => {
            for (let machine = remaining.shift(); machine !== undefined; machine = remaining.shift()) {
                reports.push(await this.queryProcess(machine));
            }
        };
        await Promise.all(Array.from({ length: maxConcurrentQueries }, queryNext));
        return ok(reports.sort((left, right) => left.machine.instance < right.machine.instance ? -1 : 1));
    }

    async close(): Promise<void> {
        this.node.stop();
        await this.list.close();
    }

    private async queryProcess(machine: VirtualMachine): Promise<ProcessReport> {
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

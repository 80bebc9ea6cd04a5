/**
 * The status that a router sends to the operator's command.
 *
 * @module
 */
import { refusalsMetricName } from "@redwingpin/common";
import { type AccountUse, type OperatorStatus, ProcessRole, type RefusalCount } from "@redwingpin/protocol";
import type { Registry } from "prom-client";

/** Values of the status. */
export interface OperatorStatusSource {
    readonly instance: string;
    readonly dataCentre: string;
    readonly revision: number;
    readonly ready: boolean;
    readonly registry: Registry;
    /** Share of its rate that each account has recently spent at this router. */
    readonly accounts: readonly AccountUse[];
}

/** Creates the status, with the refusals counted in the registry. */
export async function createOperatorStatus(source: OperatorStatusSource): Promise<OperatorStatus> {
    const { instance, dataCentre, revision, ready, registry, accounts } = source;
    return {
        instance,
        role: ProcessRole.Router,
        dataCentre,
        revision,
        ready,
        refusals: await readRefusals(registry),
        accounts,
    };
}

async function readRefusals(registry: Registry): Promise<RefusalCount[]> {
    const metric = await registry.getSingleMetric(refusalsMetricName)?.get();
    return metric?.values.map(({ labels, value }) => ({ reason: String(labels.reason), count: value })) ?? [];
}

/**
 * What a router tells the operator's command of itself.
 *
 * @module
 */
import { refusalsMetricName } from "@redwingpin/common";
import { type AccountUse, type OperatorStatus, ProcessRole, type RefusalCount } from "@redwingpin/protocol";
import type { Registry } from "prom-client";

/** What the status is made from. */
export interface OperatorStatusSource {
    readonly instance: string;
    readonly dataCentre: string;
    readonly revision: number;
    readonly ready: boolean;
    readonly registry: Registry;
    /** What the accounts have lately spent at this router. */
    readonly accounts: readonly AccountUse[];
}

/** Makes the status. */
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

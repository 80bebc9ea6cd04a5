/**
 * Connects the version rollouts with the other parts of a gateway.
 *
 * @module
 */
import { type Clock, type Logger, type RandomSource, registerGauge } from "@redwingpin/common";
import { runsVersion, VersionDelivery } from "@redwingpin/delivery";
import {
    FactKind,
    type FleetFact,
    formatAddress,
    phaseRank,
    type VersionRollouts,
    type VersionStatusStore,
} from "@redwingpin/fleet";
import { Gauge, type Registry } from "prom-client";
import type { EndpointTable } from "../decision/endpointTable.js";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";

/** Parts of the gateway. */
export interface DeliverySetup {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly random: RandomSource;
    readonly incarnation: string;
    /** The current settings; the bounds are absent if orders for other versions are not executed. */
    readonly settings: () => Pick<ResolvedGatewayConfig, "exposure" | "inner">;
    readonly rollouts: VersionRollouts;
    readonly versionStatusStore?: VersionStatusStore;
    readonly endpointTable: EndpointTable;
    readonly liveRouterNames: () => readonly string[];
    readonly unresponsiveRouters: () => number;
    readonly applyFact: (fact: FleetFact) => void;
    readonly deliverReports: (routers: readonly string[]) => void;
}

/** Creates the version rollouts; `undefined` if the settings have no bounds for them. */
export function createDelivery(setup: DeliverySetup): VersionDelivery | undefined {
    const { endpointTable, settings, versionStatusStore: store } = setup;
    const bounds = settings().exposure;
    if (bounds === undefined || store === undefined) {
        return undefined;
    }
    const slotsOf = (service: string, to: string, isNew: boolean) =>
        endpointTable.ofService(service)
            .filter((endpointState) => !endpointState.isLeaving && runsVersion(endpointState, to) === isNew)
            .reduce((slots, { endpoint }) => slots + endpoint.slots, 0);
    const delivery = new VersionDelivery({
        clock: setup.clock,
        random: setup.random,
        logger: setup.logger.scope("rollouts"),
        ownName: formatAddress(settings().inner),
        incarnation: setup.incarnation,
        bounds: () => settings().exposure ?? bounds,
        rollouts: setup.rollouts,
        store,
        liveRouterNames: setup.liveRouterNames,
        unresponsiveRouters: setup.unresponsiveRouters,
        runningOld: (service, to) =>
            [...endpointTable.ofService(service), ...endpointTable.runningUnregistered()]
                .filter((state) => state.endpoint.service === service && !runsVersion(state, to))
                .reduce((total, { running }) => total + running, 0),
        slots: (service, to) => ({
            newSlots: slotsOf(service, to, true),
            oldSlots: slotsOf(service, to, false),
        }),
        announce: (news) => setup.applyFact({ kind: FactKind.VersionRollout, ...news }),
        deliverReports: setup.deliverReports,
    });
    registerMetrics(setup.registry, delivery);
    return delivery;
}

function registerMetrics(registry: Registry, delivery: VersionDelivery): void {
    const register = (
        name: string,
        help: string,
        read: (status: ReturnType<VersionDelivery["statuses"]>[number]) => number,
    ) => new Gauge({
        name: `redwingpin_version_rollout_${name}`,
        help,
        labelNames: ["service", "to"],
        registers: [registry],
        collect() {
            this.reset();
            for (const status of delivery.statuses()) {
                const { service, to } = status.rollout;
                this.set({ service, to }, read(status));
            }
        },
    });
    register(
        "phase",
        "Phase: 0 unknown, 1 canary, 2 half, 3 full, 4 committed, 5 rolled back, 6 completed",
        (status) => phaseRank(status.rollout.phase),
    );
    register(
        "requests",
        "Requests for the service since the order, as far as known",
        ({ requests }) => requests,
    );
    register(
        "exposed",
        "Requests that were sent to the new version, as far as known",
        ({ exposed }) => exposed,
    );
    register(
        "evidence",
        "Evidence against the new version at a router that decides, as the logarithm of a likelihood ratio",
        ({ evidence }) => evidence,
    );
    registerGauge(
        registry,
        "redwingpin_version_rollouts_unread",
        "1 while this router does not know whether an order was decided",
        () => delivery.hasUnread ? 1 : 0,
    );
}

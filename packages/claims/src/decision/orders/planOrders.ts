/**
 * Compares what the endpoints serve with what the manifest states, and proposes the next orders. An interrupted upgrade
 * continues from what the endpoints serve now.
 *
 * @module
 */
import { EndpointKind, type EndpointPool, type Manifest, type Model } from "@redwingpin/manifest";
import type { EndpointStatus } from "@redwingpin/protocol";
import { type Order, OrderKind, type ProposedOrder } from "./order.js";

/** Maximum number of weight loads in flight at the same time, over all pools. */
export const maximumWeightLoads = 2;

interface Engine {
    readonly instance: string;
    readonly incarnation: string;
    /** Weights that the engine serves or has been ordered to load; absent if the manifest does not list them. */
    readonly weights: string | undefined;
    readonly adapters: readonly string[];
    readonly hasOrderInFlight: boolean;
}

/** Proposes orders in addition to those in flight. */
export function planOrders(
    manifest: Manifest,
    statuses: readonly EndpointStatus[],
    inFlight: readonly Order[],
): ProposedOrder[] {
    const loadsInFlight = inFlight.filter((order) => order.action.kind === OrderKind.LoadWeights).length;
    let loadsLeft = maximumWeightLoads - loadsInFlight;
    const proposed: ProposedOrder[] = [];
    for (const pool of manifest.pools) {
        const model = manifest.models.find((candidate) => candidate.name === pool.model);
        if (pool.kind === EndpointKind.Engine && model !== undefined) {
            const engines = enginesOf(pool, model, statuses, inFlight);
            const loads = planLoads(model, engines, loadsLeft);
            loadsLeft -= loads.length;
            proposed.push(...loads, ...planAdapters(model, engines, loads));
        }
    }
    return proposed;
}

function enginesOf(
    pool: EndpointPool,
    model: Model,
    statuses: readonly EndpointStatus[],
    inFlight: readonly Order[],
): Engine[] {
    return statuses
        .filter((status) => status.pool === pool.name && status.incarnation !== undefined && !status.draining)
        .map((status) => toEngine(status, model, inFlight))
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
}

function toEngine(status: EndpointStatus, model: Model, inFlight: readonly Order[]): Engine {
    const own = inFlight.filter((order) => order.instance === status.instance);
    const load = own.map((order) => order.action).find((action) => action.kind === OrderKind.LoadWeights);
    const versions = status.weights.filter((served) => served.model === model.name);
    const version = model.versions.find((known) => versions.some((served) => served.version === known.name));
    const adapters = versions.flatMap((served) => served.adapter === undefined ? [] : [served.adapter]);
    return {
        instance: status.instance,
        incarnation: status.incarnation!,
        weights: load?.weights ?? version?.weights,
        adapters,
        hasOrderInFlight: own.length > 0,
    };
}

function planLoads(model: Model, engines: readonly Engine[], limit: number): ProposedOrder[] {
    const desired = replicasByWeights(model);
    const spare = spareEngines(desired, engines);
    const loads: ProposedOrder[] = [];
    for (const [weights, replicas] of desired) {
        const present = engines.filter((engine) => engine.weights === weights).length;
        for (let missing = replicas - present; missing > 0 && loads.length < limit; missing--) {
            const engine = spare.shift();
            if (engine === undefined) {
                return loads;
            }
            const { instance, incarnation } = engine;
            loads.push({ instance, incarnation, action: { kind: OrderKind.LoadWeights, weights } });
        }
    }
    return loads;
}

function replicasByWeights(model: Model): Map<string, number> {
    const desired = new Map<string, number>();
    for (const version of model.versions) {
        desired.set(version.weights, (desired.get(version.weights) ?? 0) + version.replicas);
    }
    return desired;
}

/** Engines that serve no desired weights, then those in excess of the desired number of replicas. */
function spareEngines(desired: ReadonlyMap<string, number>, engines: readonly Engine[]): Engine[] {
    const kept = new Map<string, number>();
    const undesired: Engine[] = [];
    const surplus: Engine[] = [];
    for (
        const engine of [...engines].sort((left, right) =>
            Number(right.hasOrderInFlight) - Number(left.hasOrderInFlight)
        )
    ) {
        const replicas = engine.weights === undefined ? 0 : desired.get(engine.weights) ?? 0;
        const keptCount = engine.weights === undefined ? 0 : kept.get(engine.weights) ?? 0;
        if (engine.weights !== undefined) {
            kept.set(engine.weights, keptCount + 1);
        }
        if (!engine.hasOrderInFlight && keptCount >= replicas) {
            (replicas === 0 ? undesired : surplus).push(engine);
        }
    }
    return [...undesired, ...surplus];
}

function planAdapters(
    model: Model,
    engines: readonly Engine[],
    loads: readonly ProposedOrder[],
): ProposedOrder[] {
    return engines
        .filter((engine) => !engine.hasOrderInFlight && engine.weights !== undefined)
        .filter((engine) => loads.every((load) => load.instance !== engine.instance))
        .flatMap((engine) => {
            const adapter = model.adapters.find((name) => !engine.adapters.includes(name));
            const { instance, incarnation } = engine;
            return adapter === undefined
                ? []
                : [{ instance, incarnation, action: { kind: OrderKind.LoadAdapter, adapter } as const }];
        });
}

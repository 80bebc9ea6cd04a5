/**
 * Runs the simulation of version rollouts for many seeds and prints what they exceeded.
 *
 * Usage: node packages/delivery/dist/__tests__/simulationMain.js [--seeds N] [--routers N] [--kind KIND]
 *
 * @module
 */
import { VersionState } from "@redwingpin/fleet";
import { parseArgs } from "node:util";
import { simulateRollout, type SimulationResult, VersionKind } from "./deliverySimulation.js";
import type { Disturbances } from "./simulatedStatusStore.js";

/** Disturbances of a seed: every second seed has some, each of them a different mix. */
export function disturbancesOf(seed: number): Disturbances {
    const has = (divisor: number) => seed % divisor === 0;
    return seed % 2 === 0 ? {} : {
        loss: 0.15,
        restarts: has(3) ? 0.1 : 0,
        pauses: has(5) ? 0.1 : 0,
        partitions: has(7) ? 0.1 : 0,
        storeOutage: has(9) ? 0.1 : 0,
        lostResponses: has(11) ? 0.5 : 0,
        restored: has(13),
    };
}

/** A version with fewer bad responses until the time limit cannot be told from a good one. */
const minDetectable = 5;

/** What a rollout got wrong; empty if it kept all bounds. */
export function findFaults(kind: VersionKind, result: SimulationResult): string[] {
    const { afterRollback, bad, exposed, limit, runningOld, state } = result;
    const expected = kind === VersionKind.Good ? VersionState.Completed : VersionState.RolledBack;
    return [
        ...state === expected || (kind !== VersionKind.Good && bad < minDetectable)
            ? []
            : [`state ${String(state)}`],
        ...kind === VersionKind.Good || exposed <= limit ? [] : ["exposure"],
        ...kind === VersionKind.Good || (afterRollback ?? 0) <= 5_000 ? [] : ["late rollback"],
        ...runningOld === 0 ? [] : [`${runningOld} running on old replicas`],
    ];
}

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            seeds: { type: "string", default: "60" },
            routers: { type: "string" },
            kind: { type: "string" },
            rate: { type: "string" },
        },
    });
    const sizes = values.routers === undefined ? [5, 31, 68, 300] : [Number(values.routers)];
    const kinds = Object.values(VersionKind).filter((kind) =>
        values.kind === undefined || kind === values.kind
    );
    for (const routers of sizes) {
        for (const kind of kinds) {
            const faults: string[] = [];
            let most = 0;
            const decided: number[] = [];
            for (let seed = 1; seed <= Number(values.seeds); seed++) {
                const rates = routers > 100 ? [130, 400] : [5, 30, 130];
                const requestsPerSecond = Number(values.rate ?? rates[seed % rates.length]);
                const duration = routers > 100 ? 40_000 : seed % 4 === 0 ? 30_000 : 12_000;
                const disturbances = disturbancesOf(seed);
                const result = await simulateRollout({
                    seed,
                    routers,
                    requestsPerSecond,
                    duration,
                    kind,
                    disturbances,
                });
                const found = findFaults(kind, result);
                most = Math.max(most, result.exposed / result.limit);
                decided.push((result.decidedAt ?? Infinity) / duration);
                if (found.length > 0) {
                    const inputs = JSON.stringify({ requestsPerSecond, duration, ...disturbances });
                    faults.push(`  seed ${seed} ${inputs}: ${found.join(", ")} ${JSON.stringify(result)}`);
                }
            }
            decided.sort((left, right) => left - right);
            const median = decided[Math.floor(decided.length / 2)];
            process.stdout.write(
                `${routers} routers, ${kind}: ${faults.length} of ${decided.length} with faults; `
                    + `exposure up to ${most.toFixed(2)} of the limit; decided at ${
                        median.toFixed(2)
                    } (median), `
                    + `${decided[decided.length - 1].toFixed(2)} (latest) of the time limit\n`
                    + faults.map((fault) => `${fault}\n`).join(""),
            );
        }
    }
}

if (process.argv[1]?.endsWith("simulationMain.js")) {
    await main();
}

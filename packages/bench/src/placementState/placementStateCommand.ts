/**
 * `npm run bench -- placement-state`: measures memory and processor time of a router's placement by fleet size.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { bytesPerReplica, measurePlacementState } from "./placementState.js";

const sizes: readonly number[] = [8, 240, 1_200, 12_000];
const bytesPerKilobyte = 1_000;

/** Runs the placement state experiment and prints its results. */
export class PlacementStateCommand extends Command {
    static override paths = [["placement-state"]];

    json = Option.Boolean("--json", false, { description: "Print JSON instead of a table" });

    async execute(): Promise<number> {
        const rows = measurePlacementState(sizes);
        const slope = Math.round(bytesPerReplica(rows));
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify({ rows, bytesPerReplica: slope }, undefined, 2)}\n`);
            return 0;
        }
        for (const row of rows) {
            const endpoints = Math.round(row.endpointBytes / bytesPerKilobyte);
            const prefixes = Math.round(row.prefixBytes / bytesPerKilobyte);
            this.context.stdout.write(
                `${row.replicas} replicas: ${endpoints} kB for endpoints, ${prefixes} kB for prefixes, `
                    + `${row.choiceMicroseconds.toFixed(0)} us per placement\n`,
            );
        }
        this.context.stdout.write(`${slope} bytes per additional replica\n`);
        return 0;
    }
}

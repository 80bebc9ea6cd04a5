/**
 * `npm run bench -- placement-state`: memory and processor time of a router's placement as the fleet grows.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { bytesPerReplica, measurePlacementState } from "./placementState.js";

const sizes: readonly number[] = [8, 240, 1_200, 12_000];
const bytesPerKilobyte = 1_000;

/** Measures a router's placement and prints the figures. */
export class PlacementStateCommand extends Command {
    static override paths = [["placement-state"]];

    json = Option.Boolean("--json", false, { description: "Print JSON in place of a table" });

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
                    + `${row.choiceMicroseconds.toFixed(0)} us a choice\n`,
            );
        }
        this.context.stdout.write(`${slope} bytes for one more replica\n`);
        return 0;
    }
}

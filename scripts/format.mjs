/**
 * Formats every TypeScript and module script file by the rules of dprint.json, with dprint's own formatter.
 *
 * Usage: node scripts/format.mjs [--check]
 * With --check nothing is written; the files that differ are named and the exit code is 1.
 */
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { globSync } from "glob";
import { readFileSync, writeFileSync } from "node:fs";

const check = process.argv.includes("--check");
const { lineWidth, indentWidth, newLineKind, typescript, includes, excludes } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);
for (const diagnostic of formatter.getConfigDiagnostics()) {
    console.error(`dprint.json: ${diagnostic.propertyName}: ${diagnostic.message}`);
    process.exitCode = 1;
}

const different = [];
for (const file of globSync(includes, { ignore: excludes.map((folder) => `${folder}/**`) }).sort()) {
    const before = readFileSync(file, "utf8");
    const after = formatter.formatText({ filePath: file, fileText: before });
    if (after !== before) {
        different.push(file);
        if (!check) {
            writeFileSync(file, after);
        }
    }
}
for (const file of different) {
    console.log(check ? `${file}: not formatted (run npm run format)` : `${file}: formatted`);
}
if (check && different.length > 0) {
    process.exitCode = 1;
}

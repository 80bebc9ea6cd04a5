/**
 * Formats all TypeScript and .mjs files with dprint's formatter, as configured in dprint.json.
 *
 * Usage: node scripts/format.mjs [--check]
 * With --check, it writes nothing, prints the names of files that are not formatted, and exits with code 1 if any.
 */
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { globSync } from "glob";
import { readFileSync, writeFileSync } from "node:fs";

const isCheck = process.argv.includes("--check");
const { lineWidth, indentWidth, newLineKind, typescript, includes, excludes } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);
for (const diagnostic of formatter.getConfigDiagnostics()) {
    console.error(`dprint.json: ${diagnostic.propertyName}: ${diagnostic.message}`);
    process.exitCode = 1;
}

const unformattedFiles = [];
for (const file of globSync(includes, { ignore: excludes.map((folder) => `${folder}/**`) }).sort()) {
    const before = readFileSync(file, "utf8");
    const after = formatter.formatText({ filePath: file, fileText: before });
    if (after !== before) {
        unformattedFiles.push(file);
        if (!isCheck) {
            writeFileSync(file, after);
        }
    }
}
for (const file of unformattedFiles) {
    console.log(isCheck ? `${file}: not formatted (run npm run format)` : `${file}: formatted`);
}
if (isCheck && unformattedFiles.length > 0) {
    process.exitCode = 1;
}

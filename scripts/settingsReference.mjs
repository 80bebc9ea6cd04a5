/**
 * Generates docs/reference/settings.md from the programs' tables of settings. Requires a build.
 *
 * Usage: node scripts/settingsReference.mjs [--check]
 * With --check, it writes nothing and exits with code 1 if the page is out of date.
 */
import { flagOf } from "@redwingpin/common";
import { readFileSync, writeFileSync } from "node:fs";
import { agentSettings } from "../packages/agent/dist/config.js";
import { fleetSettings, storeSettings } from "../packages/command/dist/commandSettings.js";
import { routerSettings } from "../packages/router/dist/config.js";

const file = "docs/reference/settings.md";

function formatRow(setting) {
    const flag = setting.secret ? "none: secrets are no flags" : `\`${flagOf(setting.variable)}\``;
    const fallback = setting.defaultText === undefined ? "required" : `\`${setting.defaultText}\``;
    return `| \`${setting.variable}\` | ${flag} | ${setting.description} | ${fallback} |`;
}

function formatSection(program, table) {
    const tableHead = "| variable | flag | meaning | default |\n| --- | --- | --- | --- |";
    return `## ${program}\n\n${tableHead}\n${Object.values(table).map(formatRow).join("\n")}\n`;
}

const text = [
    "# Settings\n",
    "Flags take precedence over environment variables, and these over defaults. All findings are reported together.",
    "A secret is read from its variable or from the file that `<variable>_FILE` names.\n",
    formatSection("redwingpin-router", routerSettings),
    formatSection("redwingpin-agent", agentSettings),
    formatSection("redwingpin", { ...storeSettings, ...fleetSettings }),
].join("\n");

if (!process.argv.includes("--check")) {
    writeFileSync(file, text);
}
else if (readFileSync(file, "utf8") !== text) {
    console.error(`${file} is out of date: run npm run docs:settings`);
    process.exitCode = 1;
}

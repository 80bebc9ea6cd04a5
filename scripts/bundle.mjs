/**
 * Bundles each program of the platform into one file in target/ and stores its compiled code next to it. A start then
 * reads a single file and compiles little.
 *
 * Usage: node scripts/bundle.mjs
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const folder = "target";
const programs = { "redwingpin-router": "routerMain", "redwingpin-agent": "agentMain" };
const commonOptions = {
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    minifySyntax: true,
    logLevel: "warning",
};

/** Returns the Node.js flags that the deploy file runs a program with. */
function readNodeFlags(program) {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    const match = new RegExp(`run = "node (.*) ${folder}/${program}\\.cjs"`).exec(deployFile);
    return match === null ? [] : match[1].split(" ");
}

for (const [program, main] of Object.entries(programs)) {
    await build({ ...commonOptions, entryPoints: { [`${program}.bundle`]: `platform/dist/${main}.js` } });
    await build({
        ...commonOptions,
        entryPoints: { [program]: "packages/common/dist/launch/launchMain.js" },
    });
    // The program exits because its settings are missing. The error message that it prints is discarded.
    const compileArguments = [
        ...readNodeFlags(program),
        "packages/common/dist/launch/compileMain.js",
        `${folder}/${program}.cjs`,
    ];
    execFileSync(process.execPath, compileArguments, { env: {}, stdio: "ignore" });
}

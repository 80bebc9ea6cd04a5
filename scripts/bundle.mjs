/**
 * Bundles each program of the platform into one file under target/, and keeps its compiled code beside it, so that a
 * start reads one file and compiles little of it.
 *
 * Usage: node scripts/bundle.mjs
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const folder = "target";
const programs = { "redwingpin-router": "routerMain", "redwingpin-agent": "agentMain" };
const shared = {
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    minifySyntax: true,
    logLevel: "warning",
};

/** Flags of Node.js with which the deploy file runs a program. */
function flagsOf(program) {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    const run = new RegExp(`run = "node (.*) ${folder}/${program}\\.cjs"`).exec(deployFile);
    return run === null ? [] : run[1].split(" ");
}

for (const [program, main] of Object.entries(programs)) {
    await build({ ...shared, entryPoints: { [`${program}.bundle`]: `platform/dist/${main}.js` } });
    await build({ ...shared, entryPoints: { [program]: "packages/common/dist/launch/launchMain.js" } });
    // It ends for want of settings, which it says on standard error.
    const compile = [
        ...flagsOf(program),
        "packages/common/dist/launch/compileMain.js",
        `${folder}/${program}.cjs`,
    ];
    execFileSync(process.execPath, compile, { env: {}, stdio: "ignore" });
}

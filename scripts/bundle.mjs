/**
 * Bundles each program of the platform into one file under target/, so that a start reads one file.
 *
 * Usage: node scripts/bundle.mjs
 */
import { build } from "esbuild";

await build({
    entryPoints: {
        "redwingpin-router": "platform/dist/routerMain.js",
        "redwingpin-agent": "platform/dist/agentMain.js",
    },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    minifySyntax: true,
    logLevel: "warning",
});

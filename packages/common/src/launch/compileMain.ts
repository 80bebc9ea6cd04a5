/**
 * Part of the build: runs a bundled program and writes its code cache. The program exits immediately, since it has no
 * settings; by then all its modules are loaded. The cache is valid only for the Node.js flags it was compiled with.
 *
 * Usage: node FLAGS compileMain.js target/NAME.cjs
 *
 * @module
 */
import { rmSync } from "node:fs";
import { resolve } from "node:path";
import { compileBundle, programFiles, runBundle, writeCodeCache } from "./launcher.js";

const files = programFiles(resolve(process.argv[2]));
rmSync(files.compiledCode, { force: true });
const { script } = compileBundle(files);
process.once("exit", () => {
    writeCodeCache(script, files);
    process.exitCode = 0;
});
runBundle(script, files);

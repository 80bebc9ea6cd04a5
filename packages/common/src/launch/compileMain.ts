/**
 * Part of the build: loads a bundled program and keeps its compiled code. The program ends at once, since it has no
 * settings; by then all its modules are loaded. Code fits only the flags of Node.js with which it was compiled.
 *
 * Usage: node FLAGS compileMain.js target/NAME.cjs
 *
 * @module
 */
import { rmSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { compileBundle, programFiles, runBundle } from "./launcher.js";

const files = programFiles(resolve(process.argv[2]));
rmSync(files.compiledCode, { force: true });
const script = compileBundle(files);
process.once("exit", () => {
    writeFileSync(files.compiledCode, script.createCachedData());
    process.exitCode = 0;
});
runBundle(script, files);

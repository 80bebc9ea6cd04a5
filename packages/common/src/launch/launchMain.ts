/**
 * Launcher of the bundled programs: `node target/NAME.cjs`.
 *
 * @module
 */
import { writeSync } from "node:fs";
import { ignoreMeaninglessSignals } from "../processSignals.js";
import { CodeCacheState, compileBundle, programFiles, runBundle } from "./launcher.js";

// By default, a reload signal ends the process. The program reads its settings later, so nothing is missed.
process.on("SIGHUP", () => {});
ignoreMeaninglessSignals(() => {});

const files = programFiles(process.argv[1]);
const { codeCache, script } = compileBundle(files);
if (codeCache === CodeCacheState.Rejected) {
    // The program starts without the cache. The logger cannot be used, since it is part of the bundle.
    const line = { level: "warn", message: "code cache rejected, starting without it", ...files };
    try {
        writeSync(1, `${JSON.stringify(line)}\n`);
    }
    catch {
        // Whether anything reads the output does not matter to the program.
    }
}
runBundle(script, files);

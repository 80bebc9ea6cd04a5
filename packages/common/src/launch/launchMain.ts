/**
 * Launcher of the bundled programs: `node target/NAME.cjs`.
 *
 * @module
 */
import { ignoreMeaninglessSignals } from "../processSignals.js";
import { compileBundle, programFiles, runBundle } from "./launcher.js";

// By default, a reload signal ends the process. The program reads its settings later, so nothing is missed.
process.on("SIGHUP", () => {});
ignoreMeaninglessSignals(() => {});

const files = programFiles(process.argv[1]);
const script = compileBundle(files);
if (script.cachedDataRejected === true) {
    // The program starts without the cache. The logger cannot be used, since it is part of the bundle.
    process.stdout.write(
        `${
            JSON.stringify({ level: "warn", message: "code cache rejected, starting without it", ...files })
        }\n`,
    );
}
runBundle(script, files);

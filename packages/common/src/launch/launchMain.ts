/**
 * Launcher of the bundled programs: `node target/NAME.cjs`.
 *
 * @module
 */
import { compileBundle, programFiles, runBundle } from "./launcher.js";

const files = programFiles(process.argv[1]);
const script = compileBundle(files);
if (script.cachedDataRejected === true) {
    // The program starts in any case; the logger is part of what is still to be loaded.
    process.stdout.write(
        `${JSON.stringify({ level: "warn", message: "kept code does not fit", ...files })}\n`,
    );
}
runBundle(script, files);

/**
 * Starts a bundled program with the code cache that the build has written beside it. Compiling takes more than a third
 * of the startup time, and after a power failure no callers are served until the programs have started.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import Module, { createRequire } from "node:module";
import { basename, dirname, join } from "node:path";
import { Script } from "node:vm";

/** The function that `Module.wrap` creates from a CommonJS module. */
type ModuleFunction = (
    exports: object,
    require: NodeJS.Require,
    module: { readonly exports: object; },
    file: string,
    folder: string,
) => void;

/** Paths of the files of one program. */
export interface ProgramFiles {
    readonly bundle: string;
    /** V8 code cache of the bundle. */
    readonly compiledCode: string;
}

/** Returns the files of the program whose launcher is `NAME.cjs`. */
export function programFiles(launcher: string): ProgramFiles {
    const stem = join(dirname(launcher), basename(launcher, ".cjs"));
    return { bundle: `${stem}.bundle.cjs`, compiledCode: `${stem}.code` };
}

/** Compiles a bundle. Uses its code cache if that exists and matches this version of Node.js and its flags. */
export function compileBundle({ bundle, compiledCode }: ProgramFiles): Script {
    const source = Module.wrap(readFileSync(bundle, "utf8"));
    const cachedData = existsSync(compiledCode) ? readFileSync(compiledCode) : undefined;
    return new Script(source, { filename: bundle, cachedData });
}

/** Runs a compiled bundle as a CommonJS module. */
export function runBundle(script: Script, { bundle }: ProgramFiles): void {
    const module = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(module.exports, createRequire(bundle), module, bundle, dirname(bundle));
}

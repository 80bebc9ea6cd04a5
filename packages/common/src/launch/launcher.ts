/**
 * Starts a bundled program with the compiled code that the build has kept beside it. Compiling takes a good third of a
 * start, which after a loss of power is time in which no caller is served.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import Module, { createRequire } from "node:module";
import { basename, dirname, join } from "node:path";
import { Script } from "node:vm";

/** The function that Node.js makes of a CommonJS module. */
type ModuleFunction = (
    exports: object,
    require: NodeJS.Require,
    module: { readonly exports: object; },
    file: string,
    folder: string,
) => void;

/** Files of one program. */
export interface ProgramFiles {
    readonly bundle: string;
    readonly compiledCode: string;
}

/** The files that belong to a program's launcher, `NAME.cjs`. */
export function programFiles(launcher: string): ProgramFiles {
    const stem = join(dirname(launcher), basename(launcher, ".cjs"));
    return { bundle: `${stem}.bundle.cjs`, compiledCode: `${stem}.code` };
}

/** Compiles a bundle, from kept code where it fits this Node.js and its flags. */
export function compileBundle({ bundle, compiledCode }: ProgramFiles): Script {
    const source = Module.wrap(readFileSync(bundle, "utf8"));
    const cachedData = existsSync(compiledCode) ? readFileSync(compiledCode) : undefined;
    return new Script(source, { filename: bundle, cachedData });
}

/** Runs a compiled bundle. */
export function runBundle(script: Script, { bundle }: ProgramFiles): void {
    const module = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(module.exports, createRequire(bundle), module, bundle, dirname(bundle));
}

/**
 * Starts a bundled program with the code cache that the build has written beside it. Compiling takes more than a third
 * of the startup time, and after a power failure no callers are served until the programs have started.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
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

/** Size of the digest at the beginning of a code cache. */
const digestBytes = 32;

/** Returns the files of the program whose launcher is `NAME.cjs`. */
export function programFiles(launcher: string): ProgramFiles {
    const stem = join(dirname(launcher), basename(launcher, ".cjs"));
    return { bundle: `${stem}.bundle.cjs`, compiledCode: `${stem}.code` };
}

/** What became of the code cache of a bundle. */
export enum CodeCacheState {
    Absent = "absent",
    Used = "used",
    /** It was damaged, or written by another version of Node.js, on another kind of machine or with other flags. */
    Rejected = "rejected",
}

/** A compiled bundle. */
export interface CompiledBundle {
    readonly script: Script;
    readonly codeCache: CodeCacheState;
}

/** Compiles a bundle, with its code cache if that is sound. */
export function compileBundle({ bundle, compiledCode }: ProgramFiles): CompiledBundle {
    const source = Module.wrap(readFileSync(bundle, "utf8"));
    const cachedData = readCodeCache(compiledCode);
    const script = new Script(source, { filename: bundle, cachedData });
    if (cachedData !== undefined) {
        const isRejected = script.cachedDataRejected === true;
        return { script, codeCache: isRejected ? CodeCacheState.Rejected : CodeCacheState.Used };
    }
    return { script, codeCache: existsSync(compiledCode) ? CodeCacheState.Rejected : CodeCacheState.Absent };
}

/** Writes the code cache of a bundle. */
export function writeCodeCache(script: Script, { compiledCode }: ProgramFiles): void {
    const code = script.createCachedData();
    writeFileSync(compiledCode, Buffer.concat([digestOf(code), code]));
}

/** Returns `undefined` if the cache cannot be read or its digest is wrong: V8 crashes on damaged code. */
function readCodeCache(compiledCode: string): Buffer | undefined {
    try {
        const bytes = readFileSync(compiledCode);
        const code = bytes.subarray(digestBytes);
        return digestOf(code).equals(bytes.subarray(0, digestBytes)) ? code : undefined;
    }
    catch {
        return undefined;
    }
}

/** Digest of compiled code and of what it was compiled for. */
function digestOf(code: Buffer): Buffer {
    const machine = `${process.version} ${process.platform} ${process.arch} `;
    return createHash("sha256").update(machine).update(code).digest();
}

/** Runs a compiled bundle as a CommonJS module. */
export function runBundle(script: Script, { bundle }: ProgramFiles): void {
    const module = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(module.exports, createRequire(bundle), module, bundle, dirname(bundle));
}

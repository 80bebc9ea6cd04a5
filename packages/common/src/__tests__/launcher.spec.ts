import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    CodeCacheState,
    compileBundle,
    programFiles,
    runBundle,
    writeCodeCache,
} from "../launch/launcher.js";

describe("launcher of bundled programs", () => {
    let folder: string;
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "redwingpin-launcher-"));
        writeFileSync(
            join(folder, "program.bundle.cjs"),
            'globalThis.launched = [require("node:path").basename(__filename), __dirname, module.exports === exports];',
        );
    });
    afterEach(() => rmSync(folder, { recursive: true, force: true }));

    const launched = () => (globalThis as { launched?: unknown; }).launched;

    it("runs a bundle like a CommonJS module, with and without a code cache", () => {
        const files = programFiles(join(folder, "program.cjs"));
        const first = compileBundle(files);
        expect(first.codeCache).to.equal(CodeCacheState.Absent);
        runBundle(first.script, files);
        expect(launched()).to.deep.equal(["program.bundle.cjs", folder, true]);
        writeCodeCache(first.script, files);
        const second = compileBundle(files);
        expect(second.codeCache).to.equal(CodeCacheState.Used);
        runBundle(second.script, files);
        expect(launched()).to.deep.equal(["program.bundle.cjs", folder, true]);
    });

    // Guards against a program that ends by itself, or opens a debugger port, because of a signal while it starts.
    for (const signal of ["SIGHUP", "SIGUSR1", "SIGUSR2", "SIGALRM", "SIGVTALRM", "SIGXCPU"] as const) {
        it(`survives ${signal} while the bundle loads`, async () => {
            const exitCode = 7;
            writeFileSync(
                join(folder, "program.bundle.cjs"),
                `process.stdout.write("loading"); setTimeout(() => process.exit(${exitCode}), 300);`,
            );
            const launcher = new URL("../launch/launchMain.js", import.meta.url).href;
            const program = join(folder, "program.mjs");
            const path = JSON.stringify(join(folder, "program.cjs"));
            writeFileSync(program, `process.argv[1] = ${path}; await import(${JSON.stringify(launcher)});`);
            const child = spawn(process.execPath, [program], { stdio: ["ignore", "pipe", "pipe"] });
            let errors = "";
            child.stderr.on("data", (chunk: Buffer) => errors += chunk.toString());
            const closed = once(child, "close");
            await once(child.stdout, "data");
            child.kill(signal);
            expect(await closed).to.deep.equal([exitCode, null]); // eslint-disable-line no-restricted-syntax -- ChildProcess states null
            expect(errors).to.equal("");
        });
    }

    it("runs a bundle that has changed since its code cache was written", () => {
        const files = programFiles(join(folder, "program.cjs"));
        writeCodeCache(compileBundle(files).script, files);
        writeFileSync(files.bundle, "globalThis.launched = 'changed';");
        const { codeCache, script } = compileBundle(files);
        expect(codeCache).to.equal(CodeCacheState.Rejected);
        runBundle(script, files);
        expect(launched()).to.equal("changed");
    });

    // Guards against programs that crash at their start, with SIGSEGV or SIGTRAP, because their code cache is damaged.
    const damages: readonly (readonly [string, (code: Buffer) => Buffer])[] = [
        ["is empty", () => Buffer.alloc(0)],
        ["is cut at half", (code) => code.subarray(0, code.length / 2)],
        ["is zero from half on", (code) => Buffer.concat([code.subarray(0, code.length / 2)], code.length)],
        [
            "has other bytes in it",
            (code) => Buffer.from(code.map((byte, index) => index % 50 === 40 ? byte ^ 255 : byte)),
        ],
        ["consists of other bytes", (code) => Buffer.alloc(code.length, 0x55)],
    ];
    for (const [description, damage] of damages) {
        it(`runs a bundle whose code cache ${description}`, () => {
            const files = programFiles(join(folder, "program.cjs"));
            writeCodeCache(compileBundle(files).script, files);
            writeFileSync(files.compiledCode, damage(readFileSync(files.compiledCode)));
            const { codeCache, script } = compileBundle(files);
            expect(codeCache).to.equal(CodeCacheState.Rejected);
            runBundle(script, files);
            expect(launched()).to.deep.equal(["program.bundle.cjs", folder, true]);
        });
    }

    it("runs a bundle whose code cache is no file", () => {
        const files = programFiles(join(folder, "program.cjs"));
        mkdirSync(files.compiledCode);
        expect(compileBundle(files).codeCache).to.equal(CodeCacheState.Rejected);
    });
});

import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FakeClock } from "../clock.js";
import { LineWriter } from "../lineWriter.js";

describe("line writer", () => {
    const folder = mkdtempSync(join(tmpdir(), "redwingpin-lines-"));
    const file = join(folder, "log");
    let descriptor = 0;
    beforeEach(() => descriptor = openSync(file, "w"));
    afterEach(() => closeSync(descriptor));
    after(() => rmSync(folder, { recursive: true }));

    async function waitUntilWritten(text: string): Promise<void> {
        while (!readFileSync(file, "utf8").includes(text)) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
    }

    it("buffers lines and writes them in order, without waiting for the reader", async () => {
        const clock = new FakeClock();
        const writer = new LineWriter({ clock, descriptor });
        writer.write("one\n");
        writer.write("two\n");
        expect(readFileSync(file, "utf8")).to.equal("");
        clock.advance(40);
        await waitUntilWritten("two");
        expect(readFileSync(file, "utf8")).to.equal("one\ntwo\n");
    });

    it("drops lines that exceed its buffer and reports their number", () => {
        const writer = new LineWriter({ clock: new FakeClock(), descriptor, maxBytes: 10 });
        for (let line = 0; line < 5; line++) {
            writer.write("1234\n");
        }
        writer.flushSync();
        const text = readFileSync(file, "utf8");
        expect(text.startsWith("1234\n1234\n{")).to.equal(true);
        expect(JSON.parse(text.split("\n")[2])).to.deep.include({ omitted: 3 });
    });

    describe("on a pipe", () => {
        const common = JSON.stringify(new URL("../index.js", import.meta.url).href);
        // Access to `process.stdout`, as by the logger, makes the pipe non-blocking.
        const opening = `import { LineWriter, systemClock } from ${common};
            const lines = new LineWriter({ clock: systemClock, descriptor: 1 });
            process.stdout.isTTY;
            for (let line = 0; line < 4_000; line++) { lines.write(String(line).padStart(49, "0") + "\\n"); }`;

        /** Runs a program whose output a shell command reads; resolves with what both write to standard error and output. */
        async function runInto(reader: string, code: string): Promise<{ errors: string; output: string; }> {
            const program = join(folder, "program.mjs");
            writeFileSync(program, `${opening}\n${code}`);
            const command = `{ "${process.execPath}" "${program}"; echo "exit $?" >&2; } | { ${reader}; }`;
            const shell = spawn("sh", ["-c", command], { detached: true, stdio: ["ignore", "pipe", "pipe"] });
            let errors = "";
            let output = "";
            shell.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
            const closed = once(shell, "close");
            await new Promise<void>((resolve) => {
                shell.stderr.on("data", (chunk: Buffer) => {
                    errors += chunk.toString();
                    if (errors.includes("exit")) {
                        resolve();
                    }
                });
                setTimeout(resolve, 10_000).unref();
            });
            if (reader.startsWith("sleep 60")) {
                process.kill(-(shell.pid ?? 0), "SIGKILL");
            }
            await closed;
            return { errors, output };
        }

        // Guards against programs that can't end, and don't serve any more, because nobody reads their log.
        it("that nobody reads does not keep the process from exiting", async () => {
            const { errors } = await runInto(
                "sleep 60",
                "setTimeout(() => { lines.flushSync(); process.exit(3); }, 300);",
            );
            expect(errors).to.equal("exit 3\n");
        });

        // Guards against lines of the log that are lost, and not counted, because its reader is late.
        it("whose reader is late gets every line once and in order", async () => {
            const { errors, output } = await runInto(
                "sleep 1; cat",
                "setTimeout(() => process.exit(0), 2_500);",
            );
            expect(errors).to.equal("exit 0\n");
            const numbers = output.trimEnd().split("\n").map(Number);
            expect(numbers).to.deep.equal(Array.from({ length: 4_000 }, (_, line) => line));
        });
    });
});

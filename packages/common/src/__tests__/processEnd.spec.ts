import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";

const common = new URL("../index.js", import.meta.url).href;

/** Runs a program that reports its end, followed by `code`; resolves with its exit code and its last lines. */
async function runProgram(code: string, describe = "() => ({ runningRequests: 3 })", abandon = "undefined") {
    const text = `
        import { LineWriter, reportProcessEnd, systemClock } from ${JSON.stringify(common)};
        const lines = new LineWriter({ clock: systemClock, descriptor: 1 });
        reportProcessEnd({ scope: "program", clock: systemClock, lines, describe: ${describe}, abandon: ${abandon} });
        ${code}`;
    const child = spawn(process.execPath, ["--input-type=module", "--eval", text], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
    const [exitCode] = await once(child, "close");
    const log = output.trim().split("\n").map((line) => JSON.parse(line) as Record<string, unknown>);
    return { exitCode, log };
}

// Guards against processes that end without a line that says why.
describe("the end of a process", () => {
    it("is logged with exit code, uptime and running requests", async () => {
        const { exitCode, log } = await runProgram("process.exitCode = 4;");
        expect(exitCode).to.equal(4);
        expect(log).to.have.length(1);
        expect(log[0]).to.include({
            message: "process ends",
            level: "error",
            exitCode: 4,
            runningRequests: 3,
        });
        expect(log[0].uptime).to.be.a("number");
    });

    const failures = [
        [
            "an exception in a callback",
            "setTimeout(() => { throw new Error('broken'); });",
            "uncaughtException",
        ],
        ["a rejected promise", "void Promise.reject(new Error('broken'));", "unhandledRejection"],
        [
            "an exception in an event handler",
            "process.once('odd', () => { throw new Error('broken'); }); setTimeout(() => process.emit('odd'));",
            "uncaughtException",
        ],
    ];
    for (const [cause, code, origin] of failures) {
        it(`by ${cause} is logged with its stack`, async () => {
            const { exitCode, log } = await runProgram(`${code} setInterval(() => {}, 1_000);`);
            expect(exitCode).to.equal(1);
            expect(log.map(({ message }) => message)).to.deep.equal(["unexpected error", "process ends"]);
            expect(log[0]).to.include({ origin, runningRequests: 3 });
            expect(log[0].error).to.match(/Error: broken\n +at /);
        });
    }

    it("is logged if the thrown value is no error or its description fails", async () => {
        const odd =
            "throw { get stack() { throw 1; }, [Symbol.for('nodejs.util.inspect.custom')]() { throw 2; } };";
        const { exitCode, log } = await runProgram(`setTimeout(() => { ${odd} });`, "() => { throw 3; }");
        expect(exitCode).to.equal(1);
        expect(log[0]).to.include({ error: "an error that cannot be described", description: "failed: 3" });
    });

    const abandons = [
        ["is over", "async () => console.log('{}')", ["unexpected error", undefined, "process ends"]],
        ["takes too long", "() => new Promise(() => {})", ["unexpected error", "process ends"]],
        [
            "fails",
            "async () => { throw new Error('again'); }",
            ["unexpected error", "unexpected error", "process ends"],
        ],
    ] as const;
    for (const [state, abandon, messages] of abandons) {
        it(`after an error comes when its last step ${state}`, async () => {
            const code = "setTimeout(() => { throw new Error('broken'); }); setInterval(() => {}, 1_000);";
            const { exitCode, log } = await runProgram(code, undefined, abandon);
            expect(exitCode).to.equal(1);
            expect(log.map(({ message }) => message)).to.deep.equal(messages);
        });
    }
});

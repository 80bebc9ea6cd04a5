import { PassThrough, Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { createCli } from "../node/cli.js";

/** Exit code and output of a run of the command. */
export interface CommandRun {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs the command in this process. */
export async function runCommand(
    args: readonly string[],
    environment: NodeJS.ProcessEnv = {},
    input = "",
): Promise<CommandRun> {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const written = Promise.all([text(stdout), text(stderr)]);
    const exitCode = await createCli().run([...args], {
        stdin: Readable.from([input]),
        stdout,
        stderr,
        env: environment as Record<string, string>,
        colorDepth: 1,
    });
    stdout.end();
    stderr.end();
    const [out, error] = await written;
    return { exitCode, stdout: out, stderr: error };
}

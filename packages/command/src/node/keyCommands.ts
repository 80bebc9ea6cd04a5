/**
 * `redwingpin key digest`: computes the digest of a caller's key for the manifest. The key is read from standard input,
 * not from a flag, so that it appears neither in process lists nor in the shell history.
 *
 * @module
 */
import { sha256Hex } from "@redwingpin/common";
import { Command, Option } from "clipanion";
import { text } from "node:stream/consumers";
import { ExitCode } from "../exitCodes.js";

/** Minimum length of a caller's key. */
const minimumKeyCharacters = 16;

/** Prints the digest of a key. */
export class KeyDigestCommand extends Command {
    static override paths = [["key", "digest"]];
    static override usage = Command.Usage({
        description: "Read a caller's key from standard input and print its digest for the manifest",
        examples: [["Digest of a key in a file", "$0 key digest < key.txt"]],
    });

    json = Option.Boolean("--json", false, { description: "Write the result as JSON" });

    async execute(): Promise<number> {
        const key = (await text(this.context.stdin)).replace(/\r?\n$/, "");
        if (key.length < minimumKeyCharacters || /\s/.test(key)) {
            this.context.stderr.write(
                `redwingpin: a key must have at least ${minimumKeyCharacters} characters and no white space\n`,
            );
            return ExitCode.Failed;
        }
        const digest = `sha256:${sha256Hex(key)}`;
        this.context.stdout.write(this.json ? `${JSON.stringify({ digest })}\n` : `${digest}\n`);
        return ExitCode.Done;
    }
}

/**
 * `npm run playground -- [--state FILE] [--routers N] [--engines N] [--services N] [--deployment NAME]`: starts a
 * playground, prints example commands, and runs until SIGTERM or SIGINT.
 *
 * @module
 */
import { parseInteger, parseMember } from "@redwingpin/common";
import { Command, Option, runExit } from "clipanion";
import { rename, writeFile } from "node:fs/promises";
import { defaultSize, DeploymentName } from "./deployment.js";
import { type Playground, startPlayground } from "./playground.js";
import type { PlaygroundState } from "./state.js";

const maximumProcesses = 200;
const usageExitCode = 2;

class PlaygroundCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Starts stand-ins and the product as separate processes on loopback",
    });

    stateFile = Option.String("--state", {
        description: "File to write the state to, as JSON, once all processes are ready",
    });
    routers = Option.String("--routers", { description: "Number of routers" });
    engines = Option.String("--engines", { description: "Number of engines" });
    services = Option.String("--services", { description: "Number of service replicas" });
    deployment = Option.String("--deployment", DeploymentName.Sample, {
        description: `Deployment: ${Object.values(DeploymentName).join(", ")}`,
    });

    async execute(): Promise<number> {
        const stopSignal = waitForStopSignal();
        const options = this.parseOptions();
        if (options.isErr()) {
            this.context.stderr.write(`playground: ${options.error}\n`);
            return usageExitCode;
        }
        const playground = await startPlayground(options.value);
        if (this.stateFile !== undefined) {
            await writeState(this.stateFile, playground.state);
        }
        this.context.stdout.write(describePlayground(playground));
        await stopSignal;
        await playground.stop();
        return 0;
    }

    private parseOptions() {
        return parseMember(DeploymentName)(this.deployment).andThen((deployment) => {
            const size = defaultSize(deployment);
            const count = parseInteger(1, maximumProcesses);
            return count(this.routers ?? String(size.routers)).andThen((routers) =>
                count(this.engines ?? String(size.engines)).andThen((engines) =>
                    count(this.services ?? String(size.services)).map((services) => ({
                        deployment,
                        routers,
                        engines,
                        services,
                    }))
                )
            );
        });
    }
}

/** Resolves on SIGTERM or SIGINT. */
function waitForStopSignal(): Promise<void> {
    return new Promise((resolve) => {
        process.on("SIGTERM", () => resolve());
        process.on("SIGINT", () => resolve());
    });
}

/** Writes the file under another name and renames it, so that no reader sees it incomplete. */
async function writeState(file: string, state: PlaygroundState): Promise<void> {
    const temporaryFile = `${file}.partial`;
    await writeFile(temporaryFile, `${JSON.stringify(state, undefined, 4)}\n`);
    await rename(temporaryFile, file);
}

function describePlayground(playground: Playground): string {
    const { routers, keys, models, nonIdempotent, operator } = playground.state;
    const key = `-H "authorization: Bearer ${keys[0]!.key}"`;
    const body = JSON.stringify({
        model: models[0],
        prompt: "Does this pattern match?",
        max_tokens: 20,
        stream: true,
    });
    return [
        `The playground is ready with ${routers.length} routers: ${routers.join(" ")}`,
        `Logs are in ${playground.folder}`,
        "",
        "Stream a completion:",
        `    curl -N ${routers[0]}/v1/completions ${key} -H "content-type: application/json" -d '${body}'`,
        "Send a call that runs at most once:",
        `    curl ${routers[0]}${nonIdempotent} ${key} -H "idempotency-key: stamp-1" -d '{"stamp": 1}'`,
        "Run the operator's command:",
        `    ${operator.join(" ")} manifest status`,
        "",
        "Press Ctrl-C to stop.",
        "",
    ].join("\n");
}

void runExit(PlaygroundCommand);

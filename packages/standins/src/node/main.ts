#!/usr/bin/env node
/**
 * `redwingpin-standin <store|vmList|engine|service> --port N [--control-port N] ...`: runs one stand-in until SIGTERM.
 *
 * @module
 */
import { Builtins, Cli, Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import type { Standin, StandinOptions } from "./httpListener.js";
import { startStoreStandin } from "./storeStandin.js";
import { startVirtualMachineListStandin, type TargetGroup } from "./virtualMachineListStandin.js";

abstract class StandinCommand extends Command {
    port = Option.String("--port", "0", { description: "Port to listen on; 0 chooses a free one" });
    controlPort = Option.String("--control-port", "0", {
        description: "Port of the controls; 0 chooses a free one",
    });

    protected abstract start(options: StandinOptions): Promise<Standin>;

    async execute(): Promise<number> {
        const standin = await this.start({ port: Number(this.port), controlPort: Number(this.controlPort) });
        this.context.stdout.write(
            `${JSON.stringify({ address: standin.address, controlAddress: standin.controlAddress })}\n`,
        );
        await new Promise((resolve) => {
            process.once("SIGTERM", resolve);
            process.once("SIGINT", resolve);
        });
        await standin.stop();
        return 0;
    }
}

class StoreCommand extends StandinCommand {
    static override paths = [["store"]];
    static override usage = Command.Usage({ description: "Key-value store: etcd version 3 JSON gateway" });

    protected start(options: StandinOptions): Promise<Standin> {
        return startStoreStandin(options);
    }
}

class VirtualMachineListCommand extends StandinCommand {
    static override paths = [["vmList"]];
    static override usage = Command.Usage({
        description: "VM list: HTTP service discovery format of Prometheus",
    });

    file = Option.String("--file", { description: "JSON file with the list at the start" });

    protected start(options: StandinOptions): Promise<Standin> {
        const list = this.file === undefined
            ? []
            : JSON.parse(readFileSync(this.file, "utf8")) as TargetGroup[];
        return startVirtualMachineListStandin({ ...options, virtualMachines: list });
    }
}

const cli = new Cli({ binaryLabel: "Stand-ins", binaryName: "redwingpin-standin" });
cli.register(Builtins.HelpCommand);
cli.register(StoreCommand);
cli.register(VirtualMachineListCommand);
process.exitCode = await cli.run(process.argv.slice(2));

#!/usr/bin/env node
/**
 * `redwingpin-standin <store|vmList|engine|service|network> --port N [--control-port N] ...`: runs one stand-in until
 * SIGTERM or SIGINT.
 *
 * @module
 */
import { Builtins, Cli, Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { startEngineStandin } from "./engineStandin.js";
import type { Standin, StandinOptions } from "./httpListener.js";
import { type NetworkLink, startNetworkStandin } from "./networkStandin.js";
import { startServiceStandin } from "./serviceStandin.js";
import { startStoreStandin } from "./storeStandin.js";
import { startVirtualMachineListStandin, type TargetGroup } from "./virtualMachineListStandin.js";

abstract class StandinCommand extends Command {
    port = Option.String("--port", "0", { description: "Port to listen on; 0 chooses a free one" });
    controlPort = Option.String("--control-port", "0", {
        description: "Port of the control paths; 0 chooses a free one",
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
    static override usage = Command.Usage({
        description: "Key-value store with etcd's version 3 JSON gateway",
    });

    protected start(options: StandinOptions): Promise<Standin> {
        return startStoreStandin(options);
    }
}

class VirtualMachineListCommand extends StandinCommand {
    static override paths = [["vmList"]];
    static override usage = Command.Usage({
        description: "VM list in the format of Prometheus' HTTP service discovery",
    });

    file = Option.String("--file", { description: "JSON file with the initial list" });

    protected start(options: StandinOptions): Promise<Standin> {
        const list = this.file === undefined
            ? []
            : JSON.parse(readFileSync(this.file, "utf8")) as TargetGroup[];
        return startVirtualMachineListStandin({ ...options, virtualMachines: list });
    }
}

class ServiceCommand extends StandinCommand {
    static override paths = [["service"]];
    static override usage = Command.Usage({ description: "Service that records its executions" });

    answer = Option.String("--answer", "0", { description: "Milliseconds between execution and answer" });

    protected start(options: StandinOptions): Promise<Standin> {
        return startServiceStandin({ ...options, answerMilliseconds: Number(this.answer) });
    }
}

class EngineCommand extends StandinCommand {
    static override paths = [["engine"]];
    static override usage = Command.Usage({
        description: "Model engine with an OpenAI-compatible interface",
    });

    weights = Option.String("--weights", "weights-1", { description: "Weights that are loaded at startup" });
    adapters = Option.Array("--adapter", [], { description: "Adapter that is loaded at startup" });
    weightStore = Option.String("--weight-store", { description: "Address of the weight store" });
    blockTokens = Option.String("--block-tokens", "2048", { description: "Tokens in one cached block" });
    cacheBlocks = Option.String("--cache-blocks", "64", {
        description: "Capacity of the prefix cache in blocks",
    });
    prefill = Option.String("--prefill", "200000", { description: "Prompt tokens computed per second" });
    firstToken = Option.String("--first-token", "5", { description: "Milliseconds before the first token" });
    betweenTokens = Option.String("--between-tokens", "1", {
        description: "Milliseconds between two tokens",
    });
    slots = Option.String("--slots", "64", { description: "Maximum number of requests that run at once" });
    loadLag = Option.String("--load-lag", "500", {
        description: "Milliseconds between updates of the load report",
    });
    eventLag = Option.String("--event-lag", "200", {
        description: "Milliseconds by which cache events are delayed",
    });
    loseEventEvery = Option.String("--lose-event-every", "0", {
        description: "Drops every N-th cache event; 0 drops none",
    });
    crashMarker = Option.String("--crash-marker", {
        description: "A prompt with this text crashes the engine",
    });
    checksFencing = Option.Boolean("--checks-fencing", false, {
        description: "Refuses orders with an outdated fence",
    });
    senders = Option.String("--senders", {
        description: "Comma-separated senders whose orders are accepted",
    });

    protected start(options: StandinOptions): Promise<Standin> {
        return startEngineStandin({
            ...options,
            weights: this.weights,
            adapters: this.adapters,
            weightStoreAddress: this.weightStore,
            blockTokens: Number(this.blockTokens),
            cacheBlocks: Number(this.cacheBlocks),
            prefillTokensPerSecond: Number(this.prefill),
            firstTokenMilliseconds: Number(this.firstToken),
            betweenTokensMilliseconds: Number(this.betweenTokens),
            slots: Number(this.slots),
            loadLagMilliseconds: Number(this.loadLag),
            eventLagMilliseconds: Number(this.eventLag),
            loseEventEvery: Number(this.loseEventEvery),
            crashMarker: this.crashMarker,
            checksFencing: this.checksFencing,
            senders: this.senders?.split(","),
        });
    }
}

class NetworkCommand extends StandinCommand {
    static override paths = [["network"]];
    static override usage = Command.Usage({ description: "Network whose links can be partitioned" });

    links = Option.String("--links", { description: "JSON file with the links", required: true });

    protected async start(options: StandinOptions): Promise<Standin> {
        const links = JSON.parse(readFileSync(this.links, "utf8")) as NetworkLink[];
        const network = await startNetworkStandin({ links, controlPort: options.controlPort });
        return { address: network.controlAddress, ...network };
    }
}

const cli = new Cli({ binaryLabel: "Stand-ins", binaryName: "redwingpin-standin" });
cli.register(Builtins.HelpCommand);
cli.register(StoreCommand);
cli.register(VirtualMachineListCommand);
cli.register(ServiceCommand);
cli.register(EngineCommand);
cli.register(NetworkCommand);
process.exitCode = await cli.run(process.argv.slice(2));

#!/usr/bin/env node
/**
 * Command line of redwingpin-router.
 *
 * @module
 */
import {
    createLogger,
    describeSettingsFindings,
    SettingsCommand,
    settingsExitCode,
    systemClock,
    waitForStopSignal,
} from "@redwingpin/common";
import { createEtcdStore, createVirtualMachineList } from "@redwingpin/outside";
import { Command, runExit } from "clipanion";
import { collectDefaultMetrics, Registry } from "prom-client";
import { type ResolvedRouterConfig, routerSettings } from "../config.js";
import { Router } from "./router.js";

class RouterCommand extends SettingsCommand<ResolvedRouterConfig> {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Serves callers of language models and services",
        details:
            "Every setting can be given as a flag or as the environment variable named in its description.",
    });

    constructor() {
        super(routerSettings);
    }

    async execute(): Promise<number> {
        const config = this.resolve(process.env);
        if (config.isErr()) {
            this.context.stderr.write(describeSettingsFindings("redwingpin-router", config.error));
            return settingsExitCode;
        }
        await runRouter(config.value);
        return 0;
    }
}

async function runRouter(config: ResolvedRouterConfig): Promise<void> {
    const clock = systemClock;
    const logger = createLogger({
        scope: "router",
        level: config.logLevel,
        fields: { instance: config.instance, dataCentre: config.dataCentre },
    });
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const store = createEtcdStore({ address: config.storeAddress, clock, logger: logger.scope("store") });
    const virtualMachineList = createVirtualMachineList({
        address: config.virtualMachineListAddress,
        clock,
        logger: logger.scope("vmList"),
    });
    const router = new Router({ config, clock, logger, registry, store, virtualMachineList });
    const ports = await router.start();
    logger.info("serving", { listenPort: ports.listenPort, innerPort: ports.innerPort });
    await waitForStopSignal(logger);
    await router.drain();
    logger.info("stopped");
    process.exit(0);
}

void runExit(RouterCommand);

#!/usr/bin/env node
/**
 * Command line of redwingpin-agent.
 *
 * @module
 */
import {
    createLogger,
    createReasonCounters,
    describeSettingsFindings,
    SettingsCommand,
    settingsExitCode,
    startHealthServer,
    systemClock,
    waitForStopSignal,
} from "@redwingpin/common";
import { createEtcdStore } from "@redwingpin/outside";
import { Command, runExit } from "clipanion";
import { collectDefaultMetrics, Registry } from "prom-client";
import { agentSettings, type ResolvedAgentConfig } from "../config.js";
import { Agent } from "./agent.js";

class AgentCommand extends SettingsCommand<ResolvedAgentConfig> {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs next to one endpoint and passes all requests to it",
        details:
            "Every setting can be given as a flag or as the environment variable named in its description.",
    });

    constructor() {
        super(agentSettings);
    }

    async execute(): Promise<number> {
        const config = this.resolve(process.env);
        if (config.isErr()) {
            this.context.stderr.write(describeSettingsFindings("redwingpin-agent", config.error));
            return settingsExitCode;
        }
        await runAgent(config.value);
        return 0;
    }
}

async function runAgent(config: ResolvedAgentConfig): Promise<void> {
    const logger = createLogger({
        scope: "agent",
        level: config.logLevel,
        fields: { instance: config.instance, dataCentre: config.dataCentre },
    });
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    createReasonCounters(registry);
    const store = createEtcdStore({
        address: config.storeAddress,
        clock: systemClock,
        logger: logger.scope("store"),
    });
    const agent = new Agent({ config, clock: systemClock, logger, registry, store });
    let ready = false;
    const health = await startHealthServer(config.listenHost, config.metricsPort, {
        registry,
        ready: () => ready,
        logger: logger.scope("health"),
    });
    const port = await agent.start();
    ready = true;
    logger.info("serving", { innerPort: port, endpoint: config.endpointAddress });
    await waitForStopSignal(logger);
    ready = false;
    await agent.drain();
    health.close();
    await store.close();
    logger.info("stopped");
}

void runExit(AgentCommand);

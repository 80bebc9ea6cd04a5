/**
 * Start and stop of a process: describes findings in its settings, and waits for SIGTERM or SIGINT.
 *
 * @module
 */
import type { Finding } from "./finding.js";
import { formatFindings } from "./finding.js";
import type { Logger } from "./logger.js";

/** Exit code of a process whose settings are invalid. */
export const settingsExitCode = 2;

/** Formats findings in the settings of `program` for standard error. */
export function describeSettingsFindings(program: string, findings: readonly Finding[]): string {
    return `${program}: the settings have ${findings.length} finding(s)\n${formatFindings(findings)}\n`;
}

/** Resolves when the process receives SIGTERM or SIGINT. A second signal ends the process immediately. */
export function waitForStopSignal(logger: Logger): Promise<void> {
    return new Promise((resolve) => {
        let isStopping = false;
        const onSignal = (signal: NodeJS.Signals) => {
            if (isStopping) {
                logger.warn("received a second stop signal, exiting immediately", { signal });
                process.exit(1);
            }
            isStopping = true;
            logger.info("received a stop signal, draining", { signal });
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}

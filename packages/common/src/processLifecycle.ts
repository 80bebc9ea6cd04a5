/**
 * The life of a process: reports findings in its settings, and stops in order on SIGTERM or SIGINT.
 *
 * @module
 */
import type { Finding } from "./finding.js";
import { formatFindings } from "./finding.js";
import type { Logger } from "./logger.js";

/** Exit code of a process whose settings have findings. */
export const settingsExitCode = 2;

/** Text for a person about findings in the settings. */
export function describeSettingsFindings(program: string, findings: readonly Finding[]): string {
    return `${program}: the settings have ${findings.length} finding(s)\n${formatFindings(findings)}\n`;
}

/** Resolves when the process is told to stop. A second signal ends it at once. */
export function waitForStopSignal(logger: Logger): Promise<void> {
    return new Promise((resolve) => {
        let told = false;
        const onSignal = (signal: NodeJS.Signals) => {
            if (told) {
                logger.warn("told to stop a second time, leaving at once", { signal });
                process.exit(1);
            }
            told = true;
            logger.info("told to stop, draining", { signal });
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}

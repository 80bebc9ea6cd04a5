/**
 * Start and stop of a process: describes findings in its settings, and waits for a stop signal.
 *
 * @module
 */
import type { Finding } from "./finding.js";
import { formatFindings } from "./finding.js";
import type { Logger } from "./logger.js";
import { ignoreMeaninglessSignals } from "./processSignals.js";

/** Exit code of a process whose settings are invalid. */
export const settingsExitCode = 2;

/** Formats findings in the settings of `program` for standard error. */
export function describeSettingsFindings(program: string, findings: readonly Finding[]): string {
    return `${program}: the settings have ${findings.length} finding(s)\n${formatFindings(findings)}\n`;
}

/**
 * Resolves when the process receives SIGTERM, SIGINT or SIGQUIT, with which supervisors stop other servers without
 * interrupting requests. Further SIGTERMs and SIGQUITs are ignored, since supervisors and process groups may send them
 * several times; SIGINT, which a person sends, ends a process that is stopping immediately. Signals without a meaning are
 * logged and ignored from then on.
 */
export function waitForStopSignal(logger: Logger): Promise<void> {
    ignoreMeaninglessSignals((signal) => logger.warn("ignored a signal", { signal }));
    return new Promise((resolve) => {
        let isStopping = false;
        const onSignal = (signal: NodeJS.Signals) => {
            if (isStopping && signal === "SIGINT") {
                logger.warn("interrupted while stopping, exiting immediately", { signal });
                process.exit(1);
            }
            const message = isStopping ? "already draining" : "received a stop signal, draining";
            isStopping = true;
            logger.info(message, { signal });
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
        process.on("SIGQUIT", onSignal);
    });
}

/**
 * Signals that have no meaning for a program. By default they end its process, and SIGUSR1 opens a debugger port.
 *
 * @module
 */
import { constants } from "node:os";

/**
 * Left out are signals that the kernel raises for faults of the program itself (SIGSEGV, SIGSYS, SIGTRAP and so on), that
 * can't be handled (SIGKILL, SIGSTOP), that control jobs of a terminal, and that have no effect by default.
 */
const meaninglessSignals: readonly NodeJS.Signals[] = [
    "SIGALRM",
    "SIGIO",
    "SIGPIPE",
    "SIGPROF",
    "SIGPWR",
    "SIGSTKFLT",
    "SIGUSR1",
    "SIGUSR2",
    "SIGVTALRM",
    "SIGXCPU",
    "SIGXFSZ",
];

/**
 * Keeps signals without a meaning from ending the process; `onSignal` is called with each. Signals that the operating
 * system does not have are left out.
 */
export function ignoreMeaninglessSignals(onSignal: (signal: NodeJS.Signals) => void): void {
    for (const signal of meaninglessSignals) {
        if (constants.signals[signal] !== undefined) {
            process.on(signal, onSignal);
        }
    }
}

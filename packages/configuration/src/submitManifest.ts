/**
 * Operators' access to the configuration in the store: submit and read.
 *
 * @module
 */
import { type Clock, systemClock } from "@redwingpin/common";
import type { Manifest } from "@redwingpin/manifest";
import type { KeyValueStore } from "@redwingpin/outside";
import { ResultAsync } from "neverthrow";
import { loadConfiguration, type LoadedConfiguration, type LoadError } from "./decision/loadConfiguration.js";
import { runStoreDecision } from "./decision/storeDecision.js";
import { submission, type SubmissionError, type SubmissionOutcome } from "./decision/submission.js";

/** Options of {@link submitManifest}. */
export interface SubmitOptions {
    /** Revision that the manifest was made from; another revision in force is a lost race. */
    readonly expectedRevision?: number;
    /** @default systemClock */
    readonly clock?: Clock;
}

/**
 * Submits a checked manifest. The same identifier given again, after an unknown outcome, settles it: the submission is
 * accepted once at most.
 */
export function submitManifest(
    store: KeyValueStore,
    manifest: Manifest,
    submissionIdentifier: string,
    options: SubmitOptions = {},
): ResultAsync<SubmissionOutcome, SubmissionError> {
    const clock = options.clock ?? systemClock;
    const request = {
        manifest,
        submission: submissionIdentifier,
        expectedRevision: options.expectedRevision,
        submittedAt: clock.wallTime(),
    };
    return new ResultAsync(runStoreDecision(submission(request), store, clock));
}

/** Reads the accepted configuration; `undefined` before the first submission. */
export function readConfiguration(
    store: KeyValueStore,
    clock: Clock = systemClock,
): ResultAsync<LoadedConfiguration | undefined, LoadError> {
    return new ResultAsync(runStoreDecision(loadConfiguration(), store, clock));
}

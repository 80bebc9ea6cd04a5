/**
 * Lets operators submit and read the configuration in the store.
 *
 * @module
 */
import { type Clock, systemClock } from "@redwingpin/common";
import type { Manifest } from "@redwingpin/manifest";
import type { KeyValueStore } from "@redwingpin/outside";
import { ResultAsync } from "neverthrow";
import { loadConfiguration, type LoadedConfiguration, type LoadError } from "./decision/loadConfiguration.js";
import { runStoreDecision } from "./decision/storeDecision.js";
import { type SubmissionError, type SubmissionOutcome, submitRevision } from "./decision/submission.js";

/** Options of {@link submitManifest}. */
export interface SubmitOptions {
    /** Revision that the manifest is based on; the submission fails with a lost race if another one is in force. */
    readonly expectedRevision?: number;
    /** @default systemClock */
    readonly clock?: Clock;
}

/**
 * Submits a validated manifest. After an unknown outcome, submitting again with the same identifier resolves it: a
 * submission is accepted at most once.
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
    return new ResultAsync(runStoreDecision(submitRevision(request), store, clock));
}

/** Reads the accepted configuration; `undefined` before the first submission. */
export function readConfiguration(
    store: KeyValueStore,
    clock: Clock = systemClock,
): ResultAsync<LoadedConfiguration | undefined, LoadError> {
    return new ResultAsync(runStoreDecision(loadConfiguration(), store, clock));
}

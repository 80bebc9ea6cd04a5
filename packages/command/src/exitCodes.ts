/**
 * Exit codes of the operator's command. `docs/reference/exitCodes.md` lists them for operators.
 *
 * @module
 */

/** How a run of the command ended. */
export enum ExitCode {
    Done = 0,
    /** An error that no other code names. */
    Failed = 1,
    /** Flags or environment variables are wrong. */
    BadSettings = 2,
    /** The manifest has findings; nothing was changed. */
    ManifestFindings = 3,
    /** Another submission won; nothing was changed. */
    LostRace = 4,
    /** The store gave no answer; nothing was changed. */
    StoreUnavailable = 5,
    /** The submission may have been accepted; submit again under the same identifier. */
    OutcomeUnknown = 6,
    /** Accepted, but a process that answers was not at the revision in time. */
    NotInForce = 7,
    /** Accepted and in force at every process that answered, but some did not answer in time. */
    NotReachable = 8,
}

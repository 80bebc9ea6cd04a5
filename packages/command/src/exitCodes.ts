/**
 * Exit codes of the operator's command. `docs/reference/exitCodes.md` lists them for operators.
 *
 * @module
 */

/** Outcome of a run of the command. */
export enum ExitCode {
    Done = 0,
    /** An error without a code of its own. */
    Failed = 1,
    /** Flags or environment variables are invalid. */
    BadSettings = 2,
    /** The manifest has findings; nothing was changed. */
    ManifestFindings = 3,
    /** Another submission was accepted first; nothing was changed. */
    LostRace = 4,
    /** The store did not answer; nothing was changed. */
    StoreUnavailable = 5,
    /** The submission may have been accepted; submit again with the same identifier. */
    OutcomeUnknown = 6,
    /** Accepted, but a process that answers did not reach the revision in time. */
    NotInForce = 7,
    /** Accepted and in force at every process that answered; other processes or the VM list did not answer in time. */
    NotReachable = 8,
}

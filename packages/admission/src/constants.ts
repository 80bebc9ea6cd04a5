/**
 * Constants of admission. Durations are milliseconds.
 *
 * @module
 */

/** Positions of the roster. Fixed for the life of a fleet; each router holds some of them. */
export const rosterPositions = 1024;

/** Slots of every account. The same in the whole fleet, and never changed while any of its routers runs. */
export const slotsPerAccount = 3;

/** Neighbouring positions that stand with different routers where there are that many. */
export const rosterSpread = 3;

/** How long an asker may spend a grant, counted from before it asked. */
export const grantUseMilliseconds = 250;

/**
 * How long a holder counts a grant as unspent, counted from after the debit. Longer than
 * {@link grantUseMilliseconds} by a fifth, for clocks that run at different speeds.
 */
export const grantHoldMilliseconds = 300;

/** Longest time for which a request waits for tokens before it is refused. */
export const maximumWaitMilliseconds = 2_000;

/** The same in the first time after the start of a router, when its buckets are empty for no fault of the caller. */
export const startingWaitMilliseconds = 8_000;

/** Time after the start of a router in which requests wait for {@link startingWaitMilliseconds}. */
export const startingMilliseconds = 10_000;

/**
 * How much fuller than the own slots another holder may be, as a part of its burst, before it is asked for a request
 * that the own slots could serve.
 */
export const toleratedImbalance = 0.25;

/** Shortest pause before a waiting request asks again. */
export const minimumPauseMilliseconds = 5;

/** Most asks of one request to other holders in one round. */
export const maximumAsksPerRound = 4;

/** Pause between attempts to read the roster while the store does not answer. */
export const rosterRetryMilliseconds = 1_000;

/** Time after the start of a router in which it leaves room in the roster for routers that start beside it. */
export const rosterGraceMilliseconds = 5_000;

/** Pause before a router repairs the roster, for each router that stands before it in the order of names. */
export const rosterTurnMilliseconds = 200;

/** Key of the roster in the platform's store. */
export const rosterKey = "redwingpin/rates/roster";

/**
 * Time for which a router must be missing from the VM list before its VM counts as gone. At least the time by which
 * the list lags in showing a new VM.
 */
export const goneAfterMilliseconds = 15_000;

/** First pause in which a holder that did not answer is not asked again; doubles with each further silence. */
export const silencePauseMilliseconds = 500;

/** Longest pause in which a silent holder is not asked again. */
export const maximumSilencePauseMilliseconds = 8_000;

/** Longest time for which a holder that has answered that it is short is not asked again. */
export const maximumShortPauseMilliseconds = 250;

/** Agents that keep the roster for a router. */
export const rosterCaches = 3;

/** Pause between checks that the agents still keep the roster. */
export const rosterCacheCheckMilliseconds = 30_000;

/** Routers that a starting router asks for the roster. */
export const rosterSourceRouters = 5;

/** Time after which a question for the roster is given up. */
export const rosterCallMilliseconds = 1_000;

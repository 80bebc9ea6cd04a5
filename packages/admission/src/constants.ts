/**
 * Constants of admission. Durations are milliseconds.
 *
 * @module
 */

/** Positions of the roster. Never changes in the lifetime of a fleet; each router holds some of them. */
export const rosterPositions = 1024;

/** Slots of every account. The same in the whole fleet, and never changed while any of its routers is running. */
export const slotsPerAccount = 3;

/** Number of neighbouring positions that are held by different routers, if the fleet has that many. */
export const rosterSpread = 3;

/** Time in which the requesting router may spend a grant, counted from before it sent the request. */
export const grantUseMilliseconds = 250;

/**
 * Time for which a holder treats a grant as possibly unspent, counted from after the debit. A fifth longer than
 * {@link grantUseMilliseconds}, because clocks run at different speeds.
 */
export const grantHoldMilliseconds = 300;

/** Maximum time for which a request waits for tokens before it is refused. */
export const maximumWaitMilliseconds = 2_000;

/** The same during the startup period of a router: its buckets start empty, however little a caller has spent. */
export const startupMaximumWaitMilliseconds = 8_000;

/** Time after the start of a router in which requests wait up to {@link startupMaximumWaitMilliseconds}. */
export const startupPeriodMilliseconds = 10_000;

/**
 * How much fuller than this router's slots another holder may be, as a fraction of the burst, before this router
 * requests tokens from it that its own slots could supply.
 */
export const toleratedFullnessDifference = 0.25;

/** Minimum delay before a waiting request tries again to get its tokens. */
export const minimumRetryDelayMilliseconds = 5;

/** Maximum number of holders that one request asks for tokens in one round. */
export const maximumRequestsPerRound = 4;

/** Delay between attempts to read the roster while the store does not answer. */
export const rosterRetryMilliseconds = 1_000;

/** Time after the start of a router in which it reserves roster positions for routers that start at the same time. */
export const rosterStartupGraceMilliseconds = 5_000;

/** Delay before a router repairs the roster, for each router that precedes it in the order of names. */
export const rosterRepairStaggerMilliseconds = 200;

/** Key of the roster in the store. */
export const rosterKey = "redwingpin/rates/roster";

/**
 * Time for which a router must be missing from the VM list before its VM is considered removed. It is at least the
 * lag with which the list shows a new VM, so that a new router is not taken for a removed one.
 */
export const departureDelayMilliseconds = 15_000;

/**
 * Backoff after the first timeout of a holder. It doubles with each timeout after the previous backoff has ended;
 * timeouts during a backoff are ignored. An answer resets it.
 */
export const unresponsiveBackoffMilliseconds = 500;

/** Maximum backoff for an unresponsive holder. */
export const maximumUnresponsiveBackoffMilliseconds = 8_000;

/** Maximum backoff for a holder that granted fewer tokens than were requested. */
export const maximumShortageBackoffMilliseconds = 250;

/** Number of agents that cache the roster for a router. */
export const rosterCachesPerRouter = 3;

/** Interval between checks that these agents have the current roster. */
export const rosterCacheCheckMilliseconds = 30_000;

/** Number of routers from which a starting router requests the roster. */
export const rosterSourceRouters = 5;

/** Timeout of a call about the roster. */
export const rosterCallTimeoutMilliseconds = 1_000;

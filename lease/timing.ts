/** Interval at which an owner renews its lease. */
export const RENEWAL_INTERVAL_MS = 250;

/** Duration of a lease, counted from the time at which the owner sent the renewal. */
export const LEASE_DURATION_MS = 900;

/** Margin for the difference in clock rates of two nodes over one lease. */
export const CLOCK_DRIFT_MARGIN_MS = 50;

/** Interval of the checks for a pause of the process and for unresponsive owners. */
export const TICK_INTERVAL_MS = 50;

/** A gap between two timer ticks longer than this counts as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 300;

/** Interval at which an owner renews its lease. */
export const RENEWAL_INTERVAL_MS = 250;

/** Duration of a lease, counted from the time the renewal was sent. */
export const LEASE_DURATION_MS = 900;

/** Allowance for clocks that run at different rates over one lease. */
export const CLOCK_DRIFT_MARGIN_MS = 50;

/** Interval of the ticks that reveal a pause of the process. */
export const TICK_INTERVAL_MS = 50;

/** A longer gap between two ticks counts as a pause of the process. */
export const PAUSE_BOUND_MS = 300;

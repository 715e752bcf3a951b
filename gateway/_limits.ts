/** Limits in bytes that the caller listener and the peer listener share. */

/** Above the limit of any contract; the contract's own limit applies to callers. */
export const MAX_HEADER_BYTES = 65_536;
export const MAX_BODY_BYTES = 67_108_864;
/**
 * All request bodies that a process keeps at once: a single one of any size that is allowed, beside
 * ordinary ones. The smallest hosts have 250 MB, of which a node without bodies takes 100 MB.
 */
export const MAX_KEPT_BODY_BYTES = 83_886_080;
/** Unsent response bytes: about two seconds of traffic on the slowest host link, 9 Mbit/s. */
export const MAX_BUFFERED_BYTES = 2_097_152;

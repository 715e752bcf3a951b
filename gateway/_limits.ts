/** Limits in bytes that the caller listener and the peer listener share. */

/** Above the limit of any contract; the contract's own limit applies to callers. */
export const MAX_HEADER_BYTES = 65_536;
export const MAX_BODY_BYTES = 67_108_864;
/** Unsent response bytes: about two seconds of traffic on the slowest host link, 9 Mbit/s. */
export const MAX_BUFFERED_BYTES = 2_097_152;

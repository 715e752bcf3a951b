/** Bounds that the listeners for callers and for peers share, in bytes. */

/** Larger than the limit of any contract, which bounds what callers send. */
export const MAX_HEADER_BYTES = 65_536;
export const MAX_BODY_BYTES = 67_108_864;
/** Unsent bytes of answers: about two seconds of the smallest link of a host, 9 Mbit/s. */
export const MAX_BUFFERED_BYTES = 2_097_152;

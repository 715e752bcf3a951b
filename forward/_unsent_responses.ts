/** Counts one response that cannot be paused while its receiver reads too slowly. */
export interface UnsentResponse {
  /** Returns whether this response must be given up, because it or all together keep too much. */
  readonly isExceeded: () => boolean;
}

/** Bounds the bytes that wait for slow receivers of responses that cannot be paused. */
export interface UnsentResponses {
  /** Counts a response until its bytes are sent; `unsentBytes` returns how many are not. */
  readonly add: (unsentBytes: () => number) => UnsentResponse;
}

/** Limits in bytes. */
export interface UnsentLimits {
  readonly maxBytes: number;
  /** Limit of all responses together. */
  readonly maxTotalBytes: number;
}

/**
 * Creates the count of a process. Beyond the total, the responses that keep more than an equal part
 * are given up, so that a few endless ones end before sound ones do.
 *
 * @param limits Limits of one response and of all together.
 * @returns The count.
 *
 * @example
 * const unsent = createUnsentResponses({ maxBytes: 1024, maxTotalBytes: 4096 });
 * if (unsent.add(() => response.writableLength).isExceeded()) response.destroy();
 */
export const createUnsentResponses = (
  { maxBytes, maxTotalBytes }: UnsentLimits,
): UnsentResponses => {
  const responses = new Set<() => number>();

  const sumUp = () => {
    let total = 0;
    for (const unsentBytes of responses) {
      const bytes = unsentBytes();
      if (bytes === 0) responses.delete(unsentBytes);
      total += bytes;
    }
    return total;
  };

  return {
    add: (unsentBytes) => ({
      isExceeded: () => {
        responses.add(unsentBytes);
        const total = sumUp();
        const own = unsentBytes();
        return own > maxBytes
          || (total > maxTotalBytes && own >= maxTotalBytes / responses.size);
      },
    }),
  };
};

/** Largest number of bytes that wait for the receiver of one response. */
const MAX_UNSENT_BYTES = 16_777_216;
/** For the receivers of all responses: a tenth of the memory of the smallest hosts. */
const MAX_TOTAL_UNSENT_BYTES = 25_165_824;

/** The count of this process, whose memory it bounds whatever pool a response comes from. */
export const unsentResponsesOfProcess = createUnsentResponses({
  maxBytes: MAX_UNSENT_BYTES, maxTotalBytes: MAX_TOTAL_UNSENT_BYTES,
});

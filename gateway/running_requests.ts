/** Identifiers of the requests that the instance on this host is running. */
export interface RunningRequests {
  /** Records the start of a run; returns a function that records its end. */
  readonly start: (requestId: string) => () => void;
  /**
   * Returns whether the instance made the request while it ran another one. The identifier of such
   * a nested call is the one of its caller and a suffix after a dot.
   */
  readonly isNestedCall: (requestId: string) => boolean;
}

const SEPARATOR = '.';

/**
 * Creates the record of an instance without running requests.
 *
 * @returns The record.
 *
 * @example
 * const end = running.start('9c41d07b');
 * running.isNestedCall('9c41d07b.6fe2'); // true until `end` is called
 */
export const createRunningRequests = (): RunningRequests => {
  const runs = new Map<string, number>();

  return {
    start: (requestId) => {
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      return () => {
        const left = (runs.get(requestId) ?? 0) - 1;
        if (left > 0) runs.set(requestId, left);
        else runs.delete(requestId);
      };
    },
    isNestedCall: (requestId) => {
      const end = requestId.lastIndexOf(SEPARATOR);
      return end > 0 && runs.has(requestId.slice(0, end));
    },
  };
};

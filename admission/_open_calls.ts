import type { Clock } from '../clock/mod.ts';
import { canCover, MAX_TRANSIT_MS, type Run } from './_run_history.ts';

/** An instance reads the deadline of its call earlier than this node, by the transit. */
const DEADLINE_MARGIN_MS = 50;

/**
 * Follows a request of the caller listener that awaits its response. A run waits for its calls,
 * unless it fails or a call expires, so a request that is still open when the last run that covers
 * it has succeeded is none of its calls.
 *
 * @param clock Clock of the ends of runs.
 * @param deadlineAt Monotonic time in ms at which the request expires.
 * @param runs Runs in progress.
 * @returns A function to be called at the end of the request, with whether it has got its whole
 * response; it returns whether the request has outlived all runs that can have made it.
 *
 * @example
 * const hasOutlived = followOpenCall(clock, deadlineAt, history.current());
 * response.once('finish', () => {
 *   if (hasOutlived(true)) recordCaller();
 * });
 */
export const followOpenCall = (
  clock: Clock,
  deadlineAt: number,
  runs: Iterable<Run>,
): ((isSent: boolean) => boolean) => {
  const now = clock.now();
  const covering: Run[] = [];
  for (const run of runs) {
    if (!canCover(run.deadlineAt - now, deadlineAt - now)) continue;
    // The instance may go on after a response that was not complete.
    if (run.isSuccess !== undefined) return () => false;
    covering.push(run);
  }
  return (isSent) => {
    let lastEndedAt = -Infinity;
    for (const { isSuccess, endedAt = Infinity } of covering) {
      if (isSuccess !== true) return false;
      lastEndedAt = Math.max(lastEndedAt, endedAt);
    }
    if (covering.length === 0 || lastEndedAt >= deadlineAt - DEADLINE_MARGIN_MS) return false;
    // The end of a connection may be read after the response that was sent with it.
    return isSent || clock.now() >= lastEndedAt + MAX_TRANSIT_MS;
  };
};

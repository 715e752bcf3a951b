import type { Clock } from '../clock/mod.ts';
import { canCover, MAX_TRANSIT_MS, type Run } from './_run_history.ts';

/** The requests of the caller listener that await a response, and the runs that cover them. */
export interface OpenCalls {
  /**
   * Adds a request that expires at this monotonic time in ms. The returned function is to be
   * called at its end; `isSent` tells whether it has got its whole response.
   *
   * @param onOutlived Called if the request outlives all runs that can have made it.
   */
  readonly open: (
    deadlineAt: number,
    runs: Iterable<Run>,
    onOutlived: () => void,
  ) => (isSent: boolean) => void;
  /** Follows the end of a run; without success, the instance may have left its calls. */
  readonly endRun: (run: Run) => void;
}

/** An instance reads the deadline of its call earlier than this node, by the transit. */
const DEADLINE_MARGIN_MS = 50;

/**
 * Creates an empty set of requests. A run waits for its calls, unless it fails or a call expires,
 * so a request that is still open when the last run that covers it has succeeded is none of its
 * calls.
 *
 * @param clock Clock for the time in which a connection that the instance has closed is noticed.
 * @returns The set.
 *
 * @example
 * const end = openCalls.open(deadlineAt, history.current(), recordCaller);
 * response.once('finish', () => end(true));
 */
export const createOpenCalls = (clock: Clock): OpenCalls => {
  /** A request awaits one of its runs at a time, so that the end of a run concerns few of them. */
  const followersByRun = new Map<Run, Set<() => void>>();

  const follow = (run: Run, onEnd: () => void) => {
    const followers = followersByRun.get(run);
    if (followers === undefined) followersByRun.set(run, new Set([onEnd]));
    else followers.add(onEnd);
  };

  return {
    open: (deadlineAt, runs, onOutlived) => {
      const now = clock.now();
      const covering: Run[] = [];
      for (const run of runs) {
        if (!canCover(run.deadlineAt - now, deadlineAt - now)) continue;
        // The instance may go on after a response that was not complete.
        if (run.isSuccess !== undefined) return () => undefined;
        covering.push(run);
      }
      let awaited = covering.pop();
      if (awaited === undefined) return () => undefined;
      let hasOutlived = false;
      let isOpen = true;
      const outlive = () => {
        if (!isOpen) return;
        isOpen = false;
        onOutlived();
      };
      const onRunEnd = () => {
        if (clock.now() >= deadlineAt - DEADLINE_MARGIN_MS) return;
        while (awaited?.isSuccess === true) awaited = covering.pop();
        if (awaited === undefined) {
          hasOutlived = true;
          // The end of a connection may be read after the response that was sent with it.
          clock.schedule(MAX_TRANSIT_MS, outlive);
        } else if (awaited.isSuccess === undefined) follow(awaited, onRunEnd);
      };
      follow(awaited, onRunEnd);
      return (isSent) => {
        if (isSent && hasOutlived) outlive();
        isOpen = false;
        if (awaited !== undefined) followersByRun.get(awaited)?.delete(onRunEnd);
      };
    },
    endRun: (run) => {
      const followers = followersByRun.get(run);
      if (followers === undefined) return;
      followersByRun.delete(run);
      for (const onRunEnd of followers) onRunEnd();
    },
  };
};

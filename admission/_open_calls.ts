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
  /** Records the end of a run; without success, the instance may have left its calls. */
  readonly endRun: (run: Run, isSuccess: boolean) => void;
}

interface OpenCall {
  readonly deadlineAt: number;
  readonly runs: Set<Run>;
  readonly onOutlived: () => void;
  hasOutlived: boolean;
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
  const calls = new Set<OpenCall>();

  const outlive = (call: OpenCall) => {
    if (calls.delete(call)) call.onOutlived();
  };

  return {
    open: (deadlineAt, runs, onOutlived) => {
      const now = clock.now();
      const covering = new Set<Run>();
      for (const run of runs) {
        if (canCover(run.deadlineAt - now, deadlineAt - now)) covering.add(run);
      }
      if (covering.size === 0) return () => undefined;
      const call = {
        deadlineAt, runs: covering, onOutlived, hasOutlived: false,
      };
      calls.add(call);
      return (isSent) => {
        if (isSent && call.hasOutlived) outlive(call);
        else calls.delete(call);
      };
    },
    endRun: (run, isSuccess) => {
      const now = clock.now();
      for (const call of calls) {
        const isCovered = call.runs.delete(run);
        const mayBeLeft = !isSuccess || now >= call.deadlineAt - DEADLINE_MARGIN_MS;
        if (isCovered && mayBeLeft) calls.delete(call);
        else if (isCovered && call.runs.size === 0) {
          call.hasOutlived = true;
          // The end of a connection may be read after the response that was sent with it.
          clock.schedule(MAX_TRANSIT_MS, () => outlive(call));
        }
      }
    },
  };
};

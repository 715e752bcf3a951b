import type { Clock } from '../clock/mod.ts';
import { PAUSE_BOUND_MS, TICK_INTERVAL_MS } from './timing.ts';

/** Notices that the event loop stood still. */
export interface PauseDetector {
  /** Time at which the last pause was noticed, in ms; `-Infinity` without one. */
  readonly lastPauseMs: () => number;
  readonly stop: () => void;
}

/**
 * Starts to watch the event loop by regular ticks. A call of `lastPauseMs` also notices a pause
 * whose late tick has not run yet.
 */
export const createPauseDetector = (clock: Clock, onPause: () => void): PauseDetector => {
  let lastTickMs = clock.now();
  let pausedMs = -Infinity;
  let cancelTick = () => undefined as void;

  const check = () => {
    const nowMs = clock.now();
    if (nowMs - lastTickMs <= PAUSE_BOUND_MS) return;
    lastTickMs = nowMs;
    pausedMs = nowMs;
    onPause();
  };

  const tick = () => {
    check();
    lastTickMs = clock.now();
    cancelTick = clock.schedule(TICK_INTERVAL_MS, tick);
  };
  tick();

  return {
    lastPauseMs: () => {
      check();
      return pausedMs;
    },
    stop: () => cancelTick(),
  };
};

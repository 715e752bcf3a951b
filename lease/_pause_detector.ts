import type { Clock } from '../clock/mod.ts';
import { PAUSE_THRESHOLD_MS, TICK_INTERVAL_MS } from './timing.ts';

/** Detects pauses of the process by a blocked event loop or a suspended process. */
export interface PauseDetector {
  /** Time in ms at which the last pause was detected; `-Infinity` without one. */
  readonly lastPauseMs: () => number;
  readonly stop: () => void;
}

/**
 * Starts a regular timer whose delayed ticks reveal a pause. A call of `lastPauseMs` also detects a
 * pause that has just ended, before the delayed tick has run.
 */
export const createPauseDetector = (clock: Clock, onPause: () => void): PauseDetector => {
  let lastTickMs = clock.now();
  let pauseNoticedMs = -Infinity;
  let cancelTick = () => undefined as void;

  const checkForPause = () => {
    const nowMs = clock.now();
    if (nowMs - lastTickMs <= PAUSE_THRESHOLD_MS) return;
    lastTickMs = nowMs;
    pauseNoticedMs = nowMs;
    onPause();
  };

  const tick = () => {
    checkForPause();
    lastTickMs = clock.now();
    cancelTick = clock.schedule(TICK_INTERVAL_MS, tick);
  };
  tick();

  return {
    lastPauseMs: () => {
      checkForPause();
      return pauseNoticedMs;
    },
    stop: () => cancelTick(),
  };
};

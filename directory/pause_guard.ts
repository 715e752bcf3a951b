import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { StoreView } from './store_view.ts';

/** Tells whether a view may lag because the process was paused, as on a suspended host. */
export interface PauseGuard {
  /**
   * Returns false from the end of a pause until a call that was sent after it has brought the view
   * up to date, or the store has not answered in time.
   */
  readonly isCurrent: () => boolean;
  readonly stop: () => void;
}

/** Options for `createPauseGuard`. */
export interface PauseGuardOptions {
  readonly clock: Clock;
  readonly view: Pick<StoreView, 'isLoaded' | 'refresh' | 'startCurrencyCheck'>;
  readonly logger: Logger;
}

const TICK_MS = 250;
/** A shorter pause leaves time to learn of an evacuation within its bound of some seconds. */
const MIN_PAUSE_MS = 1500;
/** Time in ms for two reads; a node goes on without them, as the store is in trouble. */
const MAX_READ_MS = 2000;

/**
 * Creates the guard of a running process. Requests that arrived during a pause are in the sockets
 * of the process when it goes on, and would be served before the news of that time is read. A pause
 * is noticed by the steady clock and by the time of day, because the steady clock may stand still
 * on a suspended host.
 *
 * @param options Clock, view and logger.
 * @returns The guard.
 *
 * @example
 * if (!guard.isCurrent()) refuse('the evacuations are not known');
 */
export const createPauseGuard = (options: PauseGuardOptions): PauseGuard => {
  const { clock, view } = options;
  const logger = options.logger.forComponent('pause');
  let tickedAt = clock.now();
  let tickedWallAt = clock.wallTime();
  /** The read after the last pause; undefined once it has been answered. */
  let pending: { readonly isRead: () => boolean; readonly since: number } | undefined;

  const read = (pausedMs: number) => {
    const current = { isRead: view.startCurrencyCheck(), since: clock.now() };
    pending = current;
    logger.warn({ pausedMs: Math.round(pausedMs) }, 'the process was paused');
    // The first connection may have ended during the pause; a call after a failure uses a new one.
    view.refresh().then((isRead) => isRead || view.refresh()).catch((error: unknown) => {
      logger.error({ reason: String(error) }, 'failed to read the store after a pause');
    });
  };

  const tick = () => {
    const pausedMs = Math.max(clock.now() - tickedAt, clock.wallTime() - tickedWallAt);
    tickedAt = clock.now();
    tickedWallAt = clock.wallTime();
    // A view that is not loaded yet has nothing that could be out of date.
    if (pausedMs > MIN_PAUSE_MS && view.isLoaded()) read(pausedMs);
  };

  let cancelTick: () => void = () => undefined;
  const run = () => {
    tick();
    cancelTick = clock.schedule(TICK_MS, run);
  };
  run();

  return {
    isCurrent: () => {
      tick();
      if (pending === undefined) return true;
      const isOver = pending.isRead() || clock.now() - pending.since > MAX_READ_MS;
      if (isOver) pending = undefined;
      return isOver;
    },
    stop: () => cancelTick(),
  };
};

import type { Clock } from '../clock/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { ViewHistory } from './view_history.ts';

/** Options for `createStoreView`. */
export interface StoreViewOptions {
  readonly clock: Clock;
  readonly store: LeasedStore;
  readonly prefix: string;
  readonly logger: Logger;
  /** Watch to use instead of the store's own, for example one relayed by a peer. */
  readonly watch?: LeasedStore['watch'];
  /** Returns the era of the store; the view lists all entries again when it has risen. */
  readonly era?: () => number;
  /**
   * Time in ms for which an entry stays that a restored store lacks, so that its writer can write
   * it again; 0 by default.
   */
  readonly retainMs?: number;
  /** Records all changes, for peers that watch this view. */
  readonly history?: ViewHistory;
  /** Returns the maximum time in ms that the store holds the next watch open. */
  readonly waitMs?: () => number;
  /** Time in ms past the wait after which a watch fails; by default, that of the store's client. */
  readonly marginMs?: number;
  /** Returns the delay in ms after a watch, so that a burst of changes costs a single call. */
  readonly pauseMs?: () => number;
  /** Returns random numbers in [0, 1) for the backoff; `Math.random` by default. */
  readonly random?: () => number;
  /**
   * Returns the largest length of the value of a key, in characters; unlimited by default. Of a
   * longer value, which another writer left, an empty one is kept.
   */
  readonly maxValueLength?: (key: string) => number;
}

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { OwnerId, Placements } from '../placement/mod.ts';
import {
  type Logger, type Metrics, noopLogger, noopMetrics,
} from '../telemetry/mod.ts';
import { createPredecessorFencing } from './_predecessor_fencing.ts';
import { startFailureDetector } from './_failure_detector.ts';
import type { Witness } from './witness.ts';

/** Removes unresponsive owners and makes sure that the leases of removed owners have ended. */
export interface Takeover {
  /** True when the lease of the removed owner has ended and can't be renewed any more. */
  readonly hasLeaseEnded: (service: string, owner: OwnerId) => boolean;
  /**
   * Fences a removed owner at its witnesses and calls `onLeaseEnded` once its lease has ended.
   * Retries until it succeeds or the record no longer lists the owner.
   */
  readonly ensureLeaseEnded: (service: string, owner: OwnerId, onLeaseEnded: () => void) => void;
  readonly stop: () => void;
}

/** Options of `createTakeover`. */
export interface TakeoverOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly witness: Witness;
  readonly random: RandomGenerator;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

/**
 * Starts the failure detector for the owners that this process is a witness of, and registers the
 * handler for `release` messages.
 *
 * @param options Clock, transport, placements, the witness of this process and a random source.
 * @returns The running takeover; call `stop` to end its background tasks.
 *
 * @example
 * const takeover = createTakeover({ clock, transport, placements, witness, random });
 */
export const createTakeover = (options: TakeoverOptions): Takeover => {
  const logger = options.logger ?? noopLogger.forComponent('takeover');
  const metrics = options.metrics ?? noopMetrics;
  const fencing = createPredecessorFencing({ ...options, logger });
  const failureDetector = startFailureDetector({ ...options, logger, metrics });
  return {
    hasLeaseEnded: fencing.hasLeaseEnded,
    ensureLeaseEnded: fencing.ensureLeaseEnded,
    stop: () => {
      failureDetector.stop();
      fencing.stop();
    },
  };
};

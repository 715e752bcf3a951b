import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { OwnerId, Placements } from '../placement/mod.ts';
import {
  type Logger, type Metrics, silentLogger, silentMetrics,
} from '../telemetry/mod.ts';
import { createPredecessors } from './_predecessors.ts';
import { startSilenceDetection } from './_silence.ts';
import type { Witness } from './witness.ts';

/** Removes silent owners and clears removed ones. */
export interface Takeover {
  /** True when the lease of the removed owner has ended for good. */
  readonly isCleared: (service: string, owner: OwnerId) => boolean;
  /**
   * Makes sure that the lease of a removed owner has ended, by fencing it at its witnesses; calls
   * `onCleared` then. Repeats until it succeeds or the record no longer lists the owner.
   */
  readonly clear: (service: string, owner: OwnerId, onCleared: () => void) => void;
  readonly stop: () => void;
}

/** Options of a takeover. */
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
 * Starts to watch the owners that this process witnesses, and registers the handler for `release`.
 *
 * @param options Clock, transport, placements, the witness of this process and a random source.
 * @returns The takeover.
 *
 * @example
 * const takeover = createTakeover({ clock, transport, placements, witness, random });
 */
export const createTakeover = (options: TakeoverOptions): Takeover => {
  const logger = options.logger ?? silentLogger.forPart('takeover');
  const metrics = options.metrics ?? silentMetrics;
  const predecessors = createPredecessors({ ...options, logger });
  const detection = startSilenceDetection({ ...options, logger, metrics });
  return {
    isCleared: predecessors.isCleared,
    clear: predecessors.clear,
    stop: () => {
      detection.stop();
      predecessors.stop();
    },
  };
};

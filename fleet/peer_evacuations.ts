import type { Clock } from '../clock/mod.ts';
import type { Evacuations } from '../directory/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { fetchPeerChanges } from './changes_message.ts';

/** Options for {@link askPeersOnFailure}. */
export interface PeerEvacuationsOptions {
  readonly clock: Clock;
  /** Addresses of the other nodes, in the same order each time. */
  readonly peers: () => readonly string[];
  readonly fetchChanges: typeof fetchPeerChanges;
  readonly noteRelayed: Evacuations['noteRelayed'];
  readonly logger: Logger;
}

/**
 * Least time in ms between two questions, so that an outage of the store, in which no peer has an
 * answer, costs each node one small request a second.
 */
const MIN_INTERVAL_MS = 1000;
/** No change is later than this, so the answer holds the evacuations and nothing else. */
const AFTER_ALL_CHANGES = Number.MAX_SAFE_INTEGER;

/**
 * Wraps the watch of the operator's keys: when it fails, the node asks one of its peers, another
 * one each time, which failure domains are evacuated. So a host that is cut off from the store
 * alone stops serving an evacuated domain, also where no relay tells it.
 *
 * @param watch Watch of the store.
 * @param options Clock, peers, the request to a peer and what to do with its answer.
 * @returns The watch, with the same results; questions to peers do not delay it.
 *
 * @example
 * const watch = askPeersOnFailure(store.watch, options);
 */
export const askPeersOnFailure = (
  watch: LeasedStore['watch'],
  options: PeerEvacuationsOptions,
): LeasedStore['watch'] => {
  const { clock } = options;
  const logger = options.logger.forComponent('evacuation');
  let asked = 0;
  let askedAt = -Infinity;

  const ask = async () => {
    const peers = options.peers();
    const address = peers[asked % peers.length];
    if (address === undefined || clock.now() - askedAt < MIN_INTERVAL_MS) return;
    asked += 1;
    askedAt = clock.now();
    try {
      const changes = await options.fetchChanges(address, AFTER_ALL_CHANGES, {
        isCatchingUp: true,
      });
      if (changes === undefined || changes === 'compacted') return;
      if (changes.evacuated === undefined) return;
      // The failed watch has taken its time, so an evacuation that is new here has begun before.
      options.noteRelayed(changes.operatorRevision, changes.evacuated, true);
    } catch (error) {
      logger.debug({ peer: address, reason: String(error) }, 'failed to ask a peer');
    }
  };

  return async (...call) => {
    const changes = await watch(...call);
    const isFailed = changes.isErr() && !changes.error.isGivenUp
      && changes.error.kind !== 'compacted';
    if (isFailed) ask().catch(() => undefined);
    return changes;
  };
};

import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { NodeEntry, StoreView } from '../directory/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import type { EntryChanges, LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options for {@link createRelayedChanges}. */
export interface RelayedChangesOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly failureDomain: string;
  /** Currently known entries of the fleet. */
  readonly entries: () => Iterable<NodeEntry>;
  /** Watches the store directly. */
  readonly direct: LeasedStore['watch'];
  /** Requests the changes after a revision from a peer; undefined when it does not have them. */
  readonly fetchChanges: (address: string, after: number) => Promise<EntryChanges | undefined>;
  readonly logger: Logger;
}

/** In a failure domain of at most this many nodes, each node watches the store directly. */
const MAX_DIRECT_NODES = 8;
/** Nodes of a larger failure domain that watch the store for the others; one may be lost. */
const RELAY_COUNT = 2;
/** Time in ms for which a failed relay is not tried again. */
const RELAY_BACKOFF_MS = 5000;

/**
 * Minimum remaining right to grant, in ms, of a node that acts as a relay. The right is confirmed
 * every 3 seconds; with less than this left, the store has not answered for over 4 seconds.
 */
const MIN_RIGHT_MS = 8000;

/**
 * Reports whether a node may relay its view of the store as current. A node that is partitioned
 * from the store would otherwise keep the nodes that rely on it at the same stale view.
 */
export const mayRelay = (
  view: Pick<StoreView, 'isConnected'>,
  right: Pick<RightToGrant, 'remainingMs'>,
): boolean => view.isConnected() && right.remainingMs() > MIN_RIGHT_MS;

/**
 * Creates the watch of a node in a large failure domain: a few nodes watch the store, and the
 * others fetch the changes from them. A watch costs each watching node a call per change, so
 * without relays the number of calls to the store would grow with changes times nodes.
 *
 * @param options Clock, this node, the fleet, the direct watch and the request to a peer.
 * @returns The watch; it falls back to the store when no relay answers.
 *
 * @example
 * const view = createStoreView({ ...options, watch: createRelayedChanges(relayOptions) });
 */
export const createRelayedChanges = (
  options: RelayedChangesOptions,
): LeasedStore['watch'] => {
  const { clock, node, direct } = options;
  const logger = options.logger.forComponent('relay');
  const backoffUntil = new Map<string, number>();

  const chooseRelays = (): readonly NodeEntry[] => {
    const domainNodes = [...options.entries()]
      .filter(({ failureDomain, isStopping }) => (
        failureDomain === options.failureDomain && !isStopping
      ))
      .sort((left, right) => (left.node < right.node ? -1 : 1));
    if (domainNodes.length <= MAX_DIRECT_NODES) return [];
    const relays = domainNodes.slice(0, RELAY_COUNT);
    if (relays.some((relay) => relay.node === node)) return [];
    // Balances the load: half of the nodes try each relay first.
    return domainNodes.findIndex((entry) => entry.node === node) % 2 === 0
      ? relays
      : [...relays].reverse();
  };

  return async (prefix, after, wait) => {
    for (const relay of chooseRelays()) {
      if ((backoffUntil.get(relay.node) ?? -Infinity) > clock.now()) continue;
      let reason = 'it does not have the changes';
      try {
        const changes = await options.fetchChanges(relay.peerAddress, after);
        if (changes !== undefined) return ok(changes);
      } catch (error) {
        reason = String(error);
      }
      if (wait.signal?.aborted) {
        return err(new StoreError('unavailable', 'the watch was cancelled', {
          step: 'relay.watch', peer: relay.node,
        }));
      }
      backoffUntil.set(relay.node, clock.now() + RELAY_BACKOFF_MS);
      logger.warn({ peer: relay.node, after, reason }, 'failed to fetch changes from a relay');
    }
    return direct(prefix, after, wait);
  };
};

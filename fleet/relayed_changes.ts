import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { NodeEntry, StoreView } from '../directory/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import type { EntryChanges, LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options of relayed changes. */
export interface RelayedChangesOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly failureDomain: string;
  /** Entries of the fleet, as far as they are known. */
  readonly entries: () => Iterable<NodeEntry>;
  readonly direct: LeasedStore['changes'];
  /** Asks a peer; undefined when it cannot tell. */
  readonly ask: (address: string, after: number) => Promise<EntryChanges | undefined>;
  readonly logger: Logger;
}

/** Up to this many nodes in a failure domain, each one watches the store itself. */
const MAX_DIRECT_NODES = 8;
/** Nodes of a failure domain that watch the store for the others; one may be lost. */
const RELAYS = 2;
/** A relay that did not answer is left alone for this time in ms. */
const RELAY_PAUSE_MS = 5000;

/**
 * The right to grant is confirmed every three seconds. With less than this left in ms, the store
 * has not answered for over four seconds.
 */
const MIN_RIGHT_MS = 8000;

/**
 * Tells whether a node may pass its view of the store on as that of now. A node that is cut off
 * from the store would hold its followers back with it.
 */
export const mayRelay = (
  view: Pick<StoreView, 'isConnected'>,
  right: Pick<RightToGrant, 'remainingMs'>,
): boolean => view.isConnected() && right.remainingMs() > MIN_RIGHT_MS;

/**
 * Creates the watch of a node in a large failure domain: a few nodes watch the store, and the
 * others ask them. A watch is paid for by each node at each change, so that without relays the
 * calls to the store would grow with changes times nodes.
 *
 * @param options Clock, this node, the fleet, the store's own watch and the call to a peer.
 * @returns The watch; it goes to the store whenever no relay answers.
 *
 * @example
 * const view = createStoreView({ ...options, watch: createRelayedChanges(relayOptions) });
 */
export const createRelayedChanges = (
  options: RelayedChangesOptions,
): LeasedStore['changes'] => {
  const { clock, node, direct } = options;
  const logger = options.logger.forPart('relay');
  const pausedUntil = new Map<string, number>();

  const relaysOf = (): readonly NodeEntry[] => {
    const near = [...options.entries()]
      .filter(({ failureDomain, isStopping }) => (
        failureDomain === options.failureDomain && !isStopping
      ))
      .sort((left, right) => (left.node < right.node ? -1 : 1));
    if (near.length <= MAX_DIRECT_NODES) return [];
    const relays = near.slice(0, RELAYS);
    if (relays.some((relay) => relay.node === node)) return [];
    // Half of the nodes begin with each relay.
    return near.findIndex((one) => one.node === node) % 2 === 0 ? relays : [...relays].reverse();
  };

  return async (prefix, after, wait) => {
    for (const relay of relaysOf()) {
      if ((pausedUntil.get(relay.node) ?? -Infinity) > clock.now()) continue;
      let reason = 'it does not know the changes';
      try {
        const changes = await options.ask(relay.peerAddress, after);
        if (changes !== undefined) return ok(changes);
      } catch (error) {
        reason = String(error);
      }
      if (wait.signal?.aborted) {
        return err(new StoreError('unavailable', 'the watch was ended', {
          step: 'relay.watch', peer: relay.node,
        }));
      }
      pausedUntil.set(relay.node, clock.now() + RELAY_PAUSE_MS);
      logger.warn({ peer: relay.node, after, reason }, 'a relay of the store does not answer');
    }
    return direct(prefix, after, wait);
  };
};

import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { NodeEntry, StoreView } from '../directory/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import { eraOfRevision, type LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { fetchPeerChanges } from './changes_message.ts';

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
  readonly fetchChanges: typeof fetchPeerChanges;
  /** Reports whether peers have asked this node for changes recently. */
  readonly isAsked: () => boolean;
  /** Called when no relay has the changes, so that this node follows the store by itself. */
  readonly onNoRelay?: () => void;
  /** Reports whether relays may lack changes because the store was restored a moment ago. */
  readonly isStoreRestored?: () => boolean;
  /**
   * Called with the revision of the newest change by the operator that a relay knows, and the
   * failure domains that are evacuated since then, if it tells them.
   */
  readonly onOperatorRevision?: (revision: number, evacuated?: readonly string[]) => void;
  readonly logger: Logger;
}

/** In a failure domain of at most this many nodes, each node watches the store directly. */
const MAX_DIRECT_NODES = 8;
/** Nodes of a larger failure domain that watch the store for the others; one may be lost. */
const RELAY_COUNT = 2;
/**
 * Bounds in ms of the time for which a failed relay is not tried again; it doubles at each failure,
 * so that an entry behind which nobody answers costs little.
 */
const MIN_RELAY_BACKOFF_MS = 5000;
const MAX_RELAY_BACKOFF_MS = 80_000;
/** Time in ms after a request for changes in which a node follows the store for its peers. */
const ASKED_MS = 10_000;
/** Time in ms after the answer of a relay in which the next one is expected. */
const RELAY_ANSWER_MS = 3000;
/** Longest watch in ms of the store by a node whose relays have not noticed the newest era. */
const OUTDATED_RELAY_WAIT_MS = 1200;

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

interface RelayFailure {
  /** Monotonic time in ms of the last failure. */
  readonly failedAt: number;
  /** Time in ms after it for which the relay is not asked. */
  readonly backoffMs: number;
}

/** Whether peers rely on this node for the changes in the store. */
export interface RelayActivity {
  /** Records a request for changes. */
  readonly record: () => void;
  readonly isAsked: () => boolean;
}

/** When a relay last answered this node. */
export interface RelayAnswers {
  /** Records an answer. */
  readonly record: () => void;
  readonly isRecent: () => boolean;
  /** Forgets the last answer, after which the relays have failed. */
  readonly clear: () => void;
}

const createRecency = (clock: Clock, maxAgeMs: number) => {
  let recordedAt = -Infinity;
  return {
    record: () => {
      recordedAt = clock.now();
    },
    isRecent: () => clock.now() - recordedAt < maxAgeMs,
    clear: () => {
      recordedAt = -Infinity;
    },
  };
};

/** Creates the activity of a node that has not been asked for changes. */
export const createRelayActivity = (clock: Clock): RelayActivity => {
  const { record, isRecent } = createRecency(clock, ASKED_MS);
  return { record, isAsked: isRecent };
};

/** Creates the record of a node that no relay has answered. */
export const createRelayAnswers = (clock: Clock): RelayAnswers => (
  createRecency(clock, RELAY_ANSWER_MS)
);

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
  const failures = new Map<string, RelayFailure>();
  /** The relay whose history did not reach back far enough at the last request. */
  let compactedBy: string | undefined;
  /** Relays that could not answer at the last request, as the store did not answer them. */
  const unable = new Set<string>();

  const recordFailure = (address: string) => {
    const before = failures.get(address)?.backoffMs ?? MIN_RELAY_BACKOFF_MS / 2;
    const backoffMs = Math.min(MAX_RELAY_BACKOFF_MS, before * 2);
    failures.set(address, { failedAt: clock.now(), backoffMs });
  };

  const mayAsk = ({ peerAddress }: NodeEntry) => {
    const failure = failures.get(peerAddress);
    return failure === undefined || clock.now() - failure.failedAt >= failure.backoffMs;
  };

  /** Several failures at once tell more about this node's own link than about the relays. */
  const isCutOff = () => {
    let recent = 0;
    for (const { failedAt } of failures.values()) {
      if (clock.now() - failedAt < MIN_RELAY_BACKOFF_MS) recent += 1;
    }
    return recent >= RELAY_COUNT;
  };

  /** The first nodes by name of those that have not failed as relays. */
  const chooseRelays = (): readonly NodeEntry[] => {
    const domainNodes = [...options.entries()]
      .filter(({ failureDomain, isStopping }) => (
        failureDomain === options.failureDomain && !isStopping
      ))
      .sort((left, right) => (left.node < right.node ? -1 : 1));
    if (domainNodes.length <= MAX_DIRECT_NODES) return [];
    const known = new Set(domainNodes.map(({ peerAddress }) => peerAddress));
    for (const address of failures.keys()) if (!known.has(address)) failures.delete(address);
    const relays = domainNodes.filter(mayAsk).slice(0, RELAY_COUNT);
    // A node that is asked follows the store, so that no two nodes rely on each other.
    if (options.isAsked() || isCutOff()) return [];
    if (relays.some((relay) => relay.node === node)) return [];
    // Balances the load: half of the nodes try each relay first.
    return domainNodes.findIndex((entry) => entry.node === node) % 2 === 0
      ? relays
      : [...relays].reverse();
  };

  return async (prefix, after, wait) => {
    const relays = chooseRelays();
    const era = eraOfRevision(after);
    let isBehind = false;
    for (const [index, relay] of relays.entries()) {
      let reason = 'it does not have the changes';
      try {
        // The time that the first relay took is missing for changes that are due meanwhile.
        const changes = await options.fetchChanges(relay.peerAddress, after, {
          isCatchingUp: index > 0,
        });
        if (changes === 'compacted' && compactedBy !== relay.peerAddress) {
          // A relay that has just listed the store is as good as before, once this node has, too.
          compactedBy = relay.peerAddress;
          logger.info({ peer: relay.node, after }, 'the history of the relay is too short');
          return err(new StoreError('compacted', 'the relay has no changes after this revision', {
            step: 'relay.watch', peer: relay.node,
          }));
        }
        compactedBy = undefined;
        if (changes === undefined && !unable.has(relay.peerAddress)) {
          // Its watch was cut a moment ago, as that of the other relays; it lists the store again.
          unable.add(relay.peerAddress);
          continue;
        }
        unable.delete(relay.peerAddress);
        if (changes !== undefined && changes !== 'compacted') {
          failures.delete(relay.peerAddress);
          const relayEra = eraOfRevision(changes.at);
          if (relayEra > era) {
            return err(new StoreError('compacted', 'the relay is in a later era of the store', {
              step: 'relay.watch', peer: relay.node,
            }));
          }
          if (relayEra < era) {
            isBehind = true;
            continue;
          }
          options.onOperatorRevision?.(changes.operatorRevision, changes.evacuated);
          return ok(changes);
        }
      } catch (error) {
        reason = String(error);
      }
      if (wait.signal?.aborted) {
        return err(new StoreError('unavailable', 'the watch was cancelled', {
          step: 'relay.watch', peer: relay.node,
        }));
      }
      if (options.isStoreRestored?.()) {
        isBehind = true;
        continue;
      }
      recordFailure(relay.peerAddress);
      logger.warn({ peer: relay.node, after, reason }, 'failed to fetch changes from a relay');
    }
    if (relays.length > 0) options.onNoRelay?.();
    const waitMs = isBehind ? Math.min(wait.waitMs, OUTDATED_RELAY_WAIT_MS) : wait.waitMs;
    return direct(prefix, after, { ...wait, waitMs });
  };
};

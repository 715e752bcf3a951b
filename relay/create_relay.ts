import type { Clock } from '../clock/mod.ts';
import { chooseByRendezvous, type Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, VersionEntry } from '../proto/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createAnnouncer } from './_announcer.ts';
import { createEntryTable } from './_entry_table.ts';
import { createFetcher } from './_fetcher.ts';
import { createPeerSelector } from './_peer_selector.ts';
import { createStoreReader } from './_store_reader.ts';
import type { Relay } from './relay.ts';

/** Options for `createRelay`. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: PeerTransport;
  readonly membership: Membership;
  readonly store: Store;
  /** Key prefixes of the relayed entries. */
  readonly prefixes?: readonly string[];
  /** Number of nodes per failure domain that watch each prefix of the store. */
  readonly watchersPerDomain?: number;
  /** Mean interval in ms between anti-entropy exchanges with a random member. */
  readonly pollIntervalMs?: number;
  /** Mean interval in ms between store polls of a node that watches nothing. */
  readonly storePollIntervalMs?: number;
  /** Returns random numbers in [0, 1). */
  readonly random?: () => number;
}

const DEFAULT_PREFIXES = ['contracts/', 'placement/'];
const DEFAULT_WATCHERS_PER_DOMAIN = 2;
// An anti-entropy exchange between equal tables takes about 100 bytes. Even if every announcement
// is lost, the exchanges alone spread a configuration.
const DEFAULT_POLL_INTERVAL_MS = 4000;
const DEFAULT_STORE_POLL_INTERVAL_MS = 600_000;
const MIN_STORE_POLL_INTERVAL_MS = 30_000;
const INITIAL_POLL_INTERVAL_MS = 300;
const INITIAL_POLL_PEERS = 3;
const POLL_TIMEOUT_MS = 1000;
const WATCHER_SELECTION_DELAY_MS = 200;
const INITIAL_WATCHER_SELECTION_DELAY_MS = 500;
/** Reserved key of the version entry whose revision is the digest of the whole table. */
const DIGEST_KEY = '';

/**
 * Starts the relay of a node, which spreads entries of the store by gossip. It watches the prefixes
 * for which rendezvous hashing selects this node, announces accepted entries to random members,
 * fetches newer entries that others announce, and compares its table with that of a random member
 * at a low rate.
 *
 * @param options The clock, the transport, the membership, the store and intervals in ms.
 * @returns The running relay.
 *
 * @example
 * const relay = createRelay({ clock, logger, transport, membership, store });
 * relay.onChange('contracts/', ({ key, value }) => apply(key, value));
 */
export const createRelay = (options: RelayOptions): Relay => {
  const {
    clock, logger, transport, membership, store, random = Math.random,
  } = options;
  const prefixes = options.prefixes ?? DEFAULT_PREFIXES;
  const watchersPerDomain = options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN;
  const pollIntervalMs = options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS;
  const storePollIntervalMs = options.storePollIntervalMs ?? DEFAULT_STORE_POLL_INTERVAL_MS;
  const stopping = new AbortController();
  const { signal } = stopping;
  const table = createEntryTable(prefixes, logger);
  const peers = createPeerSelector(membership, random);
  const announcer = createAnnouncer({
    clock, transport, table, peers,
  });

  const accept = (entry: StoreEntry) => {
    if (signal.aborted || !table.accept(entry)) return;
    const { key, revision } = entry;
    logger.info({ key, revision }, 'accepted a newer revision of an entry');
    announcer.announce(key);
  };

  const fetcher = createFetcher({
    transport, logger, table, accept,
  });
  const reader = createStoreReader({
    clock, store, logger, random, accept,
  });

  const versions = (): readonly VersionEntry[] => table.list('')
    .map(({ key, revision }) => ({ key, revision }));

  const announcement = (entries: readonly VersionEntry[]): ControlBody => ({
    $case: 'announceVersions', value: { entries },
  });

  const handleDigest = (digest: number) => (
    announcement(digest === table.digest() ? [] : versions())
  );

  transport.handle('announceVersions', ({ entries }, { node }) => {
    const [first] = entries;
    if (first?.key === DIGEST_KEY) return handleDigest(first.revision);
    const address = peers.addressOf(node);
    if (address === undefined) return undefined;
    fetcher.fetchNewer(address, entries);
    const older = entries.filter(({ key, revision }) => (
      revision < (table.get(key)?.revision ?? 0)
    ));
    // Announces the newer revisions back to a sender that is behind.
    if (older.length > 0) {
      const newer = older.map(({ key }) => ({ key, revision: table.get(key)?.revision ?? 0 }));
      transport.send(address, announcement(newer));
    }
    return undefined;
  });

  transport.handle('fetch', ({ key }) => {
    const entry = table.get(key);
    return {
      $case: 'fetched',
      value: {
        key,
        revision: entry?.revision ?? 0,
        value: Buffer.from(entry?.value ?? '', 'utf8'),
        found: entry !== undefined,
      },
    };
  });

  /** Runs an anti-entropy exchange with a peer; returns whether the peer answered. */
  const compareWith = async (address: string): Promise<boolean> => {
    const digestRequest = announcement([{ key: DIGEST_KEY, revision: table.digest() }]);
    const outcome = await transport.request(address, digestRequest, { timeoutMs: POLL_TIMEOUT_MS });
    if (outcome.isErr() || outcome.value.$case !== 'announceVersions') return false;
    const peerVersions = outcome.value.value.entries;
    if (peerVersions.length === 0) return true;
    fetcher.fetchNewer(address, peerVersions);
    const revisions = new Map(peerVersions.map(({ key, revision }) => [key, revision]));
    const newer = versions().filter(({ key, revision }) => revision > (revisions.get(key) ?? 0));
    if (newer.length > 0) transport.send(address, announcement(newer));
    return true;
  };

  const pollStore = async () => {
    for (const prefix of prefixes) await reader.poll(prefix);
  };

  const pollPeers = async () => {
    let isFirst = true;
    let storePolledAtMs = clock.now();
    let storeIntervalMs = storePollIntervalMs * (0.5 + random());
    while (!signal.aborted) {
      const addresses = peers.sample(isFirst ? INITIAL_POLL_PEERS : 1);
      const answers = await Promise.all(addresses.map(compareWith));
      const hasAnswer = answers.includes(true);
      if (hasAnswer) isFirst = false;
      const dueMs = hasAnswer ? storeIntervalMs : MIN_STORE_POLL_INTERVAL_MS;
      if (!signal.aborted && clock.now() - storePolledAtMs >= dueMs) {
        await pollStore();
        storePolledAtMs = clock.now();
        storeIntervalMs = storePollIntervalMs * (0.5 + random());
      }
      const pauseMs = isFirst ? INITIAL_POLL_INTERVAL_MS : pollIntervalMs;
      await clock.sleep(pauseMs * (0.5 + random()), signal);
    }
  };

  const selectWatchers = () => {
    const self = membership.self();
    const domainMembers = membership.members().filter(({ region, failureDomain }) => (
      region === self.region && failureDomain === self.failureDomain
    ));
    for (const prefix of prefixes) {
      const watchers = chooseByRendezvous(
        prefix,
        domainMembers,
        ({ node }) => node,
        watchersPerDomain,
      );
      reader.setWatching(prefix, watchers.some(({ node }) => node === self.node));
    }
  };

  let cancelWatcherSelection: (() => void) | undefined;
  // The first selection waits for the join, because a node that is still alone would select itself.
  const scheduleWatcherSelection = (delayMs: number) => {
    cancelWatcherSelection ??= clock.schedule(delayMs, () => {
      cancelWatcherSelection = undefined;
      selectWatchers();
    });
  };
  const removeMembershipListener = membership.onChange(
    () => scheduleWatcherSelection(WATCHER_SELECTION_DELAY_MS),
  );
  scheduleWatcherSelection(INITIAL_WATCHER_SELECTION_DELAY_MS);
  pollPeers();

  return {
    current: table.get,
    list: table.list,
    publish: accept,
    onChange: table.onChange,
    stop: async () => {
      stopping.abort();
      removeMembershipListener();
      cancelWatcherSelection?.();
      announcer.stop();
      reader.stop();
    },
  };
};

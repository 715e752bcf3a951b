import type { Clock } from '../clock/mod.ts';
import { chooseByRendezvous, type Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, VersionEntry } from '../proto/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createAnnouncer } from './_announcer.ts';
import { createEntryTable } from './_entry_table.ts';
import { createFetcher } from './_fetcher.ts';
import { createPeers } from './_peers.ts';
import { createStoreReader } from './_store_reader.ts';
import type { Relay } from './relay.ts';

/** Options of a relay. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: PeerTransport;
  readonly membership: Membership;
  readonly store: Store;
  /** Prefixes of the keys that are relayed. */
  readonly prefixes?: readonly string[];
  /** Nodes per failure domain that hold the store watches. */
  readonly watchersPerDomain?: number;
  /** Mean pause between two comparisons with a random member, in ms. */
  readonly pollIntervalMs?: number;
  /** Mean pause between two readings of the store by a node that holds no watch, in ms. */
  readonly storePollIntervalMs?: number;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

const DEFAULT_PREFIXES = ['contracts/', 'placement/'];
const DEFAULT_WATCHERS_PER_DOMAIN = 2;
// A comparison of equal tables takes about 100 bytes. Even when every announcement is lost, a
// configuration spreads by comparisons alone.
const DEFAULT_POLL_INTERVAL_MS = 4000;
const DEFAULT_STORE_POLL_INTERVAL_MS = 600_000;
const MIN_STORE_POLL_INTERVAL_MS = 30_000;
const FIRST_POLL_INTERVAL_MS = 300;
const FIRST_POLL_PEERS = 3;
const POLL_TIMEOUT_MS = 1000;
const CHOOSE_WATCHERS_DELAY_MS = 200;
const FIRST_CHOICE_DELAY_MS = 500;
/** Key of the version entry that carries the digest of the whole table. */
const DIGEST_KEY = '';

/**
 * Starts the relay of a node: holds store watches where the rendezvous hash chooses this node,
 * announces accepted entries to random members, fetches what others announce, and compares its
 * table with a random member at a low rate.
 *
 * @param options Clock, transport, membership, store and rates.
 * @returns The relay.
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
  const peers = createPeers(membership, random);
  const announcer = createAnnouncer({
    clock, transport, table, peers,
  });

  const accept = (entry: StoreEntry) => {
    if (signal.aborted || !table.accept(entry)) return;
    const { key, revision } = entry;
    logger.info({ key, revision }, 'accepted a newer revision');
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
    fetcher.want(address, entries);
    const older = entries.filter(({ key, revision }) => (
      revision < (table.get(key)?.revision ?? 0)
    ));
    // The sender is told of the revisions that it does not have yet.
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

  const compareWith = async (address: string): Promise<boolean> => {
    const question = announcement([{ key: DIGEST_KEY, revision: table.digest() }]);
    const outcome = await transport.request(address, question, { timeoutMs: POLL_TIMEOUT_MS });
    if (outcome.isErr() || outcome.value.$case !== 'announceVersions') return false;
    const theirs = outcome.value.value.entries;
    if (theirs.length === 0) return true;
    fetcher.want(address, theirs);
    const revisions = new Map(theirs.map(({ key, revision }) => [key, revision]));
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
      const addresses = peers.choose(isFirst ? FIRST_POLL_PEERS : 1);
      const answers = await Promise.all(addresses.map(compareWith));
      const hasAnswer = answers.includes(true);
      if (hasAnswer) isFirst = false;
      const dueMs = hasAnswer ? storeIntervalMs : MIN_STORE_POLL_INTERVAL_MS;
      if (!signal.aborted && clock.now() - storePolledAtMs >= dueMs) {
        await pollStore();
        storePolledAtMs = clock.now();
        storeIntervalMs = storePollIntervalMs * (0.5 + random());
      }
      const pauseMs = isFirst ? FIRST_POLL_INTERVAL_MS : pollIntervalMs;
      await clock.sleep(pauseMs * (0.5 + random()), signal);
    }
  };

  const chooseWatchers = () => {
    const self = membership.self();
    const neighbours = membership.members().filter(({ region, failureDomain }) => (
      region === self.region && failureDomain === self.failureDomain
    ));
    for (const prefix of prefixes) {
      const watchers = chooseByRendezvous(
        prefix,
        neighbours,
        ({ node }) => node,
        watchersPerDomain,
      );
      reader.hold(prefix, watchers.some(({ node }) => node === self.node));
    }
  };

  let cancelChoice: (() => void) | undefined;
  // The first choice waits for the join, since a node that is still alone would choose itself.
  const scheduleChoice = (delayMs: number) => {
    cancelChoice ??= clock.schedule(delayMs, () => {
      cancelChoice = undefined;
      chooseWatchers();
    });
  };
  const stopListening = membership.onChange(() => scheduleChoice(CHOOSE_WATCHERS_DELAY_MS));
  scheduleChoice(FIRST_CHOICE_DELAY_MS);
  pollPeers();

  return {
    current: table.get,
    list: table.list,
    publish: accept,
    onChange: table.onChange,
    stop: async () => {
      stopping.abort();
      stopListening();
      cancelChoice?.();
      announcer.stop();
      reader.stop();
    },
  };
};

import type { PeerTransport } from '../peer/mod.ts';
import type { VersionEntry } from '../proto/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { EntryTable } from './_entry_table.ts';

/** Fetches entries of which peers have a newer revision. */
export interface Fetcher {
  /** Queues fetches from a peer of those entries whose announced revision is newer than ours. */
  readonly fetchNewer: (address: string, versions: readonly VersionEntry[]) => void;
}

/** Options for `createFetcher`. */
export interface FetcherOptions {
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly table: EntryTable;
  /** Called with each fetched entry. */
  readonly accept: (entry: StoreEntry) => void;
}

interface Source {
  readonly address: string;
  readonly revision: number;
}

const FETCH_TIMEOUT_MS = 2000;
const MAX_SOURCES_PER_KEY = 4;
const MAX_PARALLEL_FETCHES = 16;

/** Creates a fetcher with a bounded number of concurrent requests. */
export const createFetcher = (options: FetcherOptions): Fetcher => {
  const {
    transport, logger, table, accept,
  } = options;
  const sourcesByKey = new Map<string, Source[]>();
  let activeWorkers = 0;

  const isNewer = (key: string, revision: number) => revision > (table.get(key)?.revision ?? 0);

  const fetchFrom = async (key: string, { address }: Source) => {
    const outcome = await transport.request(
      address,
      { $case: 'fetch', value: { key } },
      { timeoutMs: FETCH_TIMEOUT_MS },
    );
    if (outcome.isErr()) {
      const { step, peer, message } = outcome.error;
      logger.debug({ step, peer, key }, `failed to fetch an entry from a peer: ${message}`);
      return;
    }
    if (outcome.value.$case !== 'fetched') return;
    const { found, revision, value } = outcome.value.value;
    if (found) accept({ key, revision, value: Buffer.from(value).toString('utf8') });
  };

  /** Fetches one key from its sources, the last one first, until none has a newer revision. */
  const fetchKey = async (key: string) => {
    const sources = sourcesByKey.get(key) ?? [];
    for (let source = sources.pop(); source !== undefined; source = sources.pop()) {
      if (isNewer(key, source.revision)) await fetchFrom(key, source);
    }
    sourcesByKey.delete(key);
  };

  const queue: string[] = [];
  const runWorker = async () => {
    if (activeWorkers >= MAX_PARALLEL_FETCHES) return;
    activeWorkers += 1;
    for (let key = queue.shift(); key !== undefined; key = queue.shift()) await fetchKey(key);
    activeWorkers -= 1;
  };

  return {
    fetchNewer: (address, versions) => {
      for (const { key, revision } of versions) {
        if (!isNewer(key, revision)) continue;
        const sources = sourcesByKey.get(key);
        if (sources === undefined) {
          sourcesByKey.set(key, [{ address, revision }]);
          queue.push(key);
          runWorker();
        } else {
          sources.push({ address, revision });
          if (sources.length > MAX_SOURCES_PER_KEY) sources.shift();
        }
      }
    },
  };
};

import type { PeerTransport } from '../peer/mod.ts';
import type { VersionEntry } from '../proto/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { EntryTable } from './_entry_table.ts';

/** Fetches entries of which a peer has a newer revision. */
export interface Fetcher {
  /** Notes that the peer has these revisions and fetches the newer ones. */
  readonly want: (address: string, versions: readonly VersionEntry[]) => void;
}

/** What the fetcher needs. */
export interface FetcherOptions {
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly table: EntryTable;
  readonly accept: (entry: StoreEntry) => void;
}

interface Source {
  readonly address: string;
  readonly revision: number;
}

const FETCH_TIMEOUT_MS = 2000;
const MAX_SOURCES = 4;
const MAX_PARALLEL = 16;

export const createFetcher = (options: FetcherOptions): Fetcher => {
  const {
    transport, logger, table, accept,
  } = options;
  const wanted = new Map<string, Source[]>();
  let running = 0;

  const isNewer = (key: string, revision: number) => revision > (table.get(key)?.revision ?? 0);

  const fetchFrom = async (key: string, { address }: Source) => {
    const outcome = await transport.request(
      address,
      { $case: 'fetch', value: { key } },
      { timeoutMs: FETCH_TIMEOUT_MS },
    );
    if (outcome.isErr()) {
      const { step, peer, message } = outcome.error;
      logger.debug({ step, peer, key }, `could not fetch an entry: ${message}`);
      return;
    }
    if (outcome.value.$case !== 'fetched') return;
    const { found, revision, value } = outcome.value.value;
    if (found) accept({ key, revision, value: Buffer.from(value).toString('utf8') });
  };

  /** Fetches one key until no announced revision is newer; the next source follows a failure. */
  const fetchKey = async (key: string) => {
    const sources = wanted.get(key) ?? [];
    for (let source = sources.pop(); source !== undefined; source = sources.pop()) {
      if (isNewer(key, source.revision)) await fetchFrom(key, source);
    }
    wanted.delete(key);
  };

  const waiting: string[] = [];
  const run = async () => {
    if (running >= MAX_PARALLEL) return;
    running += 1;
    for (let key = waiting.shift(); key !== undefined; key = waiting.shift()) await fetchKey(key);
    running -= 1;
  };

  return {
    want: (address, versions) => {
      for (const { key, revision } of versions) {
        if (!isNewer(key, revision)) continue;
        const sources = wanted.get(key);
        if (sources === undefined) {
          wanted.set(key, [{ address, revision }]);
          waiting.push(key);
          run();
        } else {
          sources.push({ address, revision });
          if (sources.length > MAX_SOURCES) sources.shift();
        }
      }
    },
  };
};

import type { Logger } from '../telemetry/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import { decodeRecord } from './decode_record.ts';
import type { PlacementRecord } from './placement_record.ts';
import type { PlacementListener } from './placements.ts';

export const KEY_PREFIX = 'placement/';

export const keyOf = (service: string) => `${KEY_PREFIX}${service}`;

/** A record and the store revision at which it was written. */
export interface CachedRecord {
  readonly record: PlacementRecord;
  readonly revision: number;
}

/** The newest known record of each service. Its revision and version never decrease. */
export interface RecordCache {
  readonly find: (service: string) => CachedRecord | undefined;
  readonly services: () => readonly string[];
  /** Stores a record that is newer than the cached one and notifies the listeners. */
  readonly accept: (candidate: CachedRecord) => void;
  /** Accepts an entry received from a peer. A malformed entry is logged and ignored. */
  readonly acceptEntry: (entry: StoreEntry) => void;
  readonly onChange: (listener: PlacementListener) => () => void;
}

export const createRecordCache = (logger: Logger): RecordCache => {
  const records = new Map<string, CachedRecord>();
  const listeners = new Set<PlacementListener>();

  const accept = (candidate: CachedRecord) => {
    const { record, revision } = candidate;
    const cached = records.get(record.service);
    if (cached !== undefined && revision <= cached.revision) return;
    if (cached !== undefined && record.version <= cached.record.version) {
      const fields = { service: record.service, version: record.version, revision };
      logger.warn(fields, `ignored a record not newer than version ${cached.record.version}`);
      return;
    }
    records.set(record.service, candidate);
    for (const listener of [...listeners]) listener(record, cached?.record);
  };

  return {
    find: (service) => records.get(service),
    services: () => [...records.keys()].sort(),
    accept,
    acceptEntry: (entry) => {
      const cached = records.get(entry.key.slice(KEY_PREFIX.length));
      if (cached !== undefined && entry.revision <= cached.revision) return;
      const decoded = decodeRecord(entry.value, entry.key);
      if (decoded.isErr()) {
        logger.warn({ key: entry.key, revision: entry.revision }, decoded.error.message);
      } else if (keyOf(decoded.value.service) !== entry.key) {
        logger.warn({ key: entry.key }, `ignored a record of service ${decoded.value.service}`);
      } else accept({ record: decoded.value, revision: entry.revision });
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
};

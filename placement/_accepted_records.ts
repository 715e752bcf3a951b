import type { Logger } from '../telemetry/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import { decodeRecord } from './decode_record.ts';
import type { PlacementRecord } from './placement_record.ts';
import type { PlacementListener } from './placements.ts';

export const KEY_PREFIX = 'placement/';

export const keyOf = (service: string) => `${KEY_PREFIX}${service}`;

/** A record and the store revision that holds it. */
export interface AcceptedRecord {
  readonly record: PlacementRecord;
  readonly revision: number;
}

/** The newest records; neither the revision nor the version of a service ever falls. */
export interface AcceptedRecords {
  readonly find: (service: string) => AcceptedRecord | undefined;
  readonly services: () => readonly string[];
  readonly accept: (accepted: AcceptedRecord) => void;
  /** Accepts an entry that peers brought; a malformed one is logged and left out. */
  readonly acceptEntry: (entry: StoreEntry) => void;
  readonly onChange: (listener: PlacementListener) => () => void;
}

export const createAcceptedRecords = (logger: Logger): AcceptedRecords => {
  const records = new Map<string, AcceptedRecord>();
  const listeners = new Set<PlacementListener>();

  const accept = (accepted: AcceptedRecord) => {
    const { record, revision } = accepted;
    const known = records.get(record.service);
    if (known !== undefined && revision <= known.revision) return;
    if (known !== undefined && record.version <= known.record.version) {
      const fields = { service: record.service, version: record.version, revision };
      logger.warn(fields, `refused a record that is not above version ${known.record.version}`);
      return;
    }
    records.set(record.service, accepted);
    for (const listener of [...listeners]) listener(record, known?.record);
  };

  return {
    find: (service) => records.get(service),
    services: () => [...records.keys()].sort(),
    accept,
    acceptEntry: (entry) => {
      const known = records.get(entry.key.slice(KEY_PREFIX.length));
      if (known !== undefined && entry.revision <= known.revision) return;
      const decoded = decodeRecord(entry.value, entry.key);
      if (decoded.isErr()) {
        logger.warn({ key: entry.key, revision: entry.revision }, decoded.error.message);
      } else if (keyOf(decoded.value.service) !== entry.key) {
        logger.warn({ key: entry.key }, `refused the record of service ${decoded.value.service}`);
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

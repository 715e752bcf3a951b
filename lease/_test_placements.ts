import { ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { PlacementListener, PlacementRecord, Placements } from '../placement/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';

export const SERVICE = 'turn-ledger';
const KEY = `placement/${SERVICE}`;
const POLL_MS = 400;

let writes = 0;

/** The placements of one process for one service, over the store and announcements of entries. */
export const createTestPlacements = (
  store: Store,
  clock: Clock,
  announce: (entry: StoreEntry) => void,
) => {
  const listeners = new Set<PlacementListener>();
  let revision = 0;
  let known: PlacementRecord | undefined;

  const accept = (entry: StoreEntry | undefined): PlacementRecord | undefined => {
    if (!entry || entry.revision <= revision) return known;
    const previous = known;
    const record = JSON.parse(entry.value) as PlacementRecord;
    revision = entry.revision;
    known = record;
    for (const listener of [...listeners]) listener(record, previous);
    return known;
  };

  const update: Placements['update'] = async (_, change) => {
    for (;;) {
      const read = await store.get(KEY);
      if (read.isErr()) return read.map(() => undefined);
      const next = change(accept(read.value));
      if (!next) return ok(known);
      writes += 1;
      const value = JSON.stringify({ ...next, writer: `${writes}` });
      const outcome = await store.compareAndSwap(KEY, read.value?.revision ?? 0, value);
      if (outcome.isOk()) {
        const entry = { key: KEY, revision: outcome.value, value };
        announce(entry);
        return ok(accept(entry));
      }
      if (outcome.error.kind === 'unavailable') return outcome.map(() => undefined);
      // After a conflict or a lost reply the change is applied again to what the store has now.
    }
  };

  const poll = async () => {
    const read = await store.get(KEY);
    clock.schedule(0, () => accept(read.unwrapOr(undefined)));
    clock.schedule(POLL_MS, poll);
  };
  clock.schedule(POLL_MS, poll);

  const placements: Placements = {
    current: () => known,
    services: () => (known ? [SERVICE] : []),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    update,
  };
  return { placements, accept };
};

import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { EntryTable } from './_entry_table.ts';
import type { PeerSelector } from './_peer_selector.ts';

/** Announces new revisions to a bounded number of randomly chosen members. */
export interface Announcer {
  /** Schedules announcements of the newest known revision of a key. */
  readonly announce: (key: string) => void;
  readonly stop: () => void;
}

/** Options for `createAnnouncer`. */
export interface AnnouncerOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: EntryTable;
  readonly peers: PeerSelector;
}

const FAN_OUT = 4;
// With a fan-out of 4, the first round misses a fraction of e^-4 of the members, and all three
// rounds together miss e^-12.
const ROUND_DELAYS_MS = [5, 500, 1500];

/** Creates an announcer that sends each key in several delayed rounds. */
export const createAnnouncer = (options: AnnouncerOptions): Announcer => {
  const {
    clock, transport, table, peers,
  } = options;
  // Batches the keys that are accepted at about the same time into one message per round.
  const rounds = ROUND_DELAYS_MS.map((delayMs) => ({ delayMs, keys: new Set<string>() }));
  const cancels = new Map<Set<string>, () => void>();

  const sendRound = (keys: Set<string>) => {
    cancels.delete(keys);
    const entries = [...keys].flatMap((key) => {
      const entry = table.get(key);
      return entry ? [{ key, revision: entry.revision }] : [];
    });
    keys.clear();
    for (const address of peers.sample(FAN_OUT)) {
      transport.send(address, { $case: 'announceVersions', value: { entries } });
    }
  };

  return {
    announce: (key) => {
      for (const { delayMs, keys } of rounds) {
        keys.add(key);
        if (!cancels.has(keys)) {
          cancels.set(keys, clock.schedule(delayMs, () => sendRound(keys)));
        }
      }
    },
    stop: () => {
      for (const cancel of cancels.values()) cancel();
      cancels.clear();
    },
  };
};

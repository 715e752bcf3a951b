import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { EntryTable } from './_entry_table.ts';
import type { Peers } from './_peers.ts';

/** Announces new revisions to a bounded number of random members. */
export interface Announcer {
  readonly announce: (key: string) => void;
  readonly stop: () => void;
}

/** What the announcer needs. */
export interface AnnouncerOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: EntryTable;
  readonly peers: Peers;
}

const FAN_OUT = 4;
// The first round reaches all but e^-4 of the members, the three together all but e^-12.
const ROUND_DELAYS_MS = [5, 500, 1500];

export const createAnnouncer = (options: AnnouncerOptions): Announcer => {
  const {
    clock, transport, table, peers,
  } = options;
  // Keys that were accepted together travel in one message per round.
  const rounds = ROUND_DELAYS_MS.map((delayMs) => ({ delayMs, keys: new Set<string>() }));
  const cancels = new Map<Set<string>, () => void>();

  const sendRound = (keys: Set<string>) => {
    cancels.delete(keys);
    const entries = [...keys].flatMap((key) => {
      const entry = table.get(key);
      return entry ? [{ key, revision: entry.revision }] : [];
    });
    keys.clear();
    for (const address of peers.choose(FAN_OUT)) {
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

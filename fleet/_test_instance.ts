import type { Clock } from '../clock/mod.ts';
import type {
  Announcement, AnnouncementAnswer, HeldRange, KeyRange, ReleasedRange,
} from '../ranges/mod.ts';

/** Sends an announcement to the node; returns undefined when the node does not answer. */
export type Announce = (announcement: Announcement) => AnnouncementAnswer | undefined;

/** A simulated instance that holds keys as the platform's protocol specifies. */
export interface TestInstance {
  readonly name: string;
  readonly startedAt: number;
  /** Ranges held at present; empty once the hold has expired. */
  readonly held: () => readonly HeldRange[];
  readonly announce: () => void;
  readonly drain: () => void;
}

/** Options for {@link createTestInstance}. */
export interface TestInstanceOptions {
  readonly clock: Clock;
  readonly name: string;
  readonly startedAt: number;
  readonly send: Announce;
  /** Rate of the instance's clock; with 0.98, its holds last 2 % longer. */
  readonly clockRate?: number;
}

const isInside = (range: KeyRange, outer: KeyRange) => (
  outer.from <= range.from && outer.to >= range.to
);

/** Creates an instance without keys; it sends an announcement at each call of `announce`. */
export const createTestInstance = (options: TestInstanceOptions): TestInstance => {
  const { clock, name, startedAt } = options;
  const rate = options.clockRate ?? 1;
  let rows: readonly HeldRange[] = [];
  let endsAt = -Infinity;
  let released: ReleasedRange[] = [];
  let sequence = 0;
  let isDraining = false;

  const held = () => (clock.now() < endsAt ? rows : []);

  const applyGrants = (answer: AnnouncementAnswer, sentAt: number) => {
    released = [];
    if (answer.grants === undefined) return;
    const { ranges, holdMs } = answer.grants;
    for (const row of held()) {
      const isKept = ranges.some((range) => isInside(row, range));
      if (!isKept) released.push({ from: row.from, to: row.to, handover: `${name}-${row.from}` });
    }
    rows = ranges.map(({ from, to, token }) => ({ from, to, token }));
    endsAt = sentAt + holdMs / rate;
  };

  return {
    name,
    startedAt,
    held,
    announce: () => {
      const sentAt = clock.now();
      sequence += 1;
      const answer = options.send({
        instance: name,
        startedAt,
        address: `${name}:1`,
        service: 'ledger',
        slots: 4,
        isDraining,
        sequence,
        coldMs: 0,
        held: held(),
        released,
      });
      if (answer !== undefined) applyGrants(answer, sentAt);
    },
    drain: () => {
      isDraining = true;
    },
  };
};

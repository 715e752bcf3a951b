import type { Clock } from '../clock/mod.ts';
import type {
  Announcement, AnnouncementAnswer, GrantedRange, HeldRange, ReleasedRange,
} from './announcement.ts';
import { type KeyRange, overlaps } from './key_range.ts';
import {
  isSameOwner, type Owner, type RangeRecord, type RangeRow,
} from './range_record.ts';

/** State of the node at the time it answers an announcement. */
export interface GrantInputs {
  /** Ownership of the keys; undefined until the store has been read. */
  readonly record: RangeRecord | undefined;
  /** Time in ms for which holds may be granted. */
  readonly rightMs: number;
  /** Reports whether a row must be released although it has no successor yet. */
  readonly isWithdrawn: (row: RangeRow) => boolean;
}

/** Answer to an announcement and the releases that the announcement confirmed. */
export interface GrantOutcome {
  readonly answer: AnnouncementAnswer;
  /** Rows that the instance has released, according to its announcement. */
  readonly released: readonly RangeRow[];
}

/** Options for {@link createGrantTracker}. */
export interface GrantTrackerOptions {
  readonly clock: Clock;
  readonly node: string;
  /** Maximum duration in ms of a hold. */
  readonly maxHoldMs: number;
}

/** Tracks the key ranges that a node has granted to its instance, and for how long. */
export interface GrantTracker {
  readonly answer: (announcement: Announcement, inputs: GrantInputs) => GrantOutcome;
  /** Reports whether the instance may currently serve a key. */
  readonly mayServe: (key: number) => boolean;
  /** Ranges that the instance may currently serve. */
  readonly ranges: () => readonly KeyRange[];
  /** Time in ms until every hold has certainly ended, clock drift included; 0 if it has. */
  readonly remainingHoldMs: () => number;
  /** The most recent handover data of ranges that the instance has released. */
  readonly handovers: () => readonly ReleasedRange[];
  /** Clears the grants of the instance after its process has ended. */
  readonly reset: () => void;
}

/** Allows for an instance's clock that runs 2 % slow. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Covers the transmission time of an answer, during which the hold is already counted. */
const HOLD_MARGIN_MS = 300;
/** Maximum number of stored handovers; each released row produces one. */
const MAX_HANDOVERS = 256;

const covers = (range: KeyRange, key: number) => key >= range.from && key <= range.to;

/** Reports whether the instance holds the whole row under the row's token. */
const isHeld = (row: RangeRow, held: readonly HeldRange[]) => (
  held.some(({ from, to, token }) => token === row.token && from <= row.from && to >= row.to)
);

const toGrant = (row: RangeRow, held: readonly HeldRange[]): GrantedRange => ({
  from: row.from,
  to: row.to,
  token: row.token,
  handover: isHeld(row, held) ? '' : row.handover,
});

/**
 * Creates the tracker of a node that has just started. A previous process of the node may have
 * granted a hold right before, so a hold of maximum duration is assumed to be running.
 *
 * @param options Clock, node and maximum duration of a hold.
 * @returns The tracker.
 *
 * @example
 * const { answer, released } = tracker.answer(announcement, { record, rightMs, isWithdrawn });
 */
export const createGrantTracker = (options: GrantTrackerOptions): GrantTracker => {
  const { clock, node, maxHoldMs } = options;
  let granted: readonly GrantedRange[] = [];
  let servesUntil = -Infinity;
  let holdEndsAt = clock.now() + maxHoldMs * CLOCK_DRIFT_FACTOR + HOLD_MARGIN_MS;
  let currentOwner: Owner | undefined;
  /** Rows of the owner that the last answer did not grant, by range and token. */
  let withheld = new Set<string>();
  const handovers: ReleasedRange[] = [];

  const rowKey = ({ from, to, token }: RangeRow) => `${from}-${to}-${token}`;

  const storeHandovers = (released: readonly ReleasedRange[]) => {
    for (const range of released) {
      const known = handovers.some(({ handover }) => handover === range.handover);
      if (!known && range.handover !== '') handovers.push(range);
    }
    handovers.splice(0, Math.max(0, handovers.length - MAX_HANDOVERS));
  };

  const answer: GrantTracker['answer'] = (announcement, { record, rightMs, isWithdrawn }) => {
    const { instance, startedAt, held } = announcement;
    const owner: Owner = { node, instance, startedAt };
    if (!isSameOwner(currentOwner, owner)) {
      withheld = new Set();
      handovers.length = 0;
      currentOwner = owner;
    }
    storeHandovers(announcement.released);
    if (record === undefined) return { answer: { grants: undefined }, released: [] };
    const own = record.rows.filter((row) => isSameOwner(row.owner, owner));
    const retained = own.filter((row) => row.successor === undefined && !isWithdrawn(row));
    const withdrawn = own.filter((row) => !retained.includes(row));
    const released = withdrawn.filter((row) => (
      withheld.has(rowKey(row)) && !held.some((range) => overlaps(range, row))
    ));
    const holdMs = Math.min(maxHoldMs, rightMs);
    if (holdMs <= 0) {
      return { answer: { grants: undefined }, released };
    }
    withheld = new Set(withdrawn.map(rowKey));
    granted = retained.map((row) => toGrant(row, held));
    servesUntil = clock.now() + holdMs;
    holdEndsAt = Math.max(holdEndsAt, clock.now() + holdMs * CLOCK_DRIFT_FACTOR + HOLD_MARGIN_MS);
    return { answer: { grants: { ranges: granted, holdMs } }, released };
  };

  return {
    answer,
    mayServe: (key) => clock.now() < servesUntil && granted.some((range) => covers(range, key)),
    ranges: () => (clock.now() < servesUntil ? granted : []),
    remainingHoldMs: () => Math.max(0, holdEndsAt - clock.now()),
    handovers: () => handovers,
    reset: () => {
      granted = [];
      servesUntil = -Infinity;
      withheld = new Set();
      currentOwner = undefined;
    },
  };
};

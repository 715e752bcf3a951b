import type { Clock } from '../clock/mod.ts';
import type {
  Announcement, AnnouncementAnswer, GrantedRange, HeldRange, ReleasedRange,
} from './announcement.ts';
import { type KeyRange, overlaps } from './key_range.ts';
import {
  isSameOwner, type Owner, type RangeRecord, type RangeRow,
} from './range_record.ts';

/** What the node knows when it answers an announcement. */
export interface GrantInputs {
  /** Owners of the keys; undefined while the store has not been read. */
  readonly record: RangeRecord | undefined;
  /** Time in ms for which holds may be given. */
  readonly rightMs: number;
  /** Rows that must be released although they have no successor yet. */
  readonly isWithdrawn: (row: RangeRow) => boolean;
}

/** Answer to an announcement and what it showed. */
export interface GrantOutcome {
  readonly answer: AnnouncementAnswer;
  /** Rows of the instance that it has released, as its announcement shows. */
  readonly released: readonly RangeRow[];
}

/** Options of a ledger. */
export interface GrantLedgerOptions {
  readonly clock: Clock;
  readonly node: string;
  /** Longest hold in ms that the instance accepts. */
  readonly maxHoldMs: number;
}

/** What one node has let its instance hold. */
export interface GrantLedger {
  readonly answer: (announcement: Announcement, inputs: GrantInputs) => GrantOutcome;
  /** Tells whether the instance may run requests for a key now. */
  readonly mayServe: (key: number) => boolean;
  /** Keys that the instance may serve now. */
  readonly ranges: () => readonly KeyRange[];
  /** Time in ms until the last hold has ended, whatever the instance's clock; 0 when it has. */
  readonly holdLeftMs: () => number;
  /** Handovers of released keys that no other owner has got yet. */
  readonly handovers: () => readonly ReleasedRange[];
  /** The instance of the last announcement has ended. */
  readonly forget: () => void;
}

/** The clock of an instance may run 2 % slow. */
const CLOCK_ERROR = 1.02;
/** Covers an answer that is on its way when the hold is counted. */
const HOLD_MARGIN_MS = 300;
/** Handovers kept at most; one is made for each released row. */
const MAX_HANDOVERS = 256;

const covers = (range: KeyRange, key: number) => key >= range.from && key <= range.to;

/** The instance has each key of the row under the row's token. */
const isTaken = (row: RangeRow, held: readonly HeldRange[]) => (
  held.some(({ from, to, token }) => token === row.token && from <= row.from && to >= row.to)
);

const toGrant = (row: RangeRow, held: readonly HeldRange[]): GrantedRange => ({
  from: row.from,
  to: row.to,
  token: row.token,
  handover: isTaken(row, held) ? '' : row.handover,
});

/**
 * Creates the ledger of a node that has just started. A former process of the node may have given a
 * hold right before, so one of full length counts as given.
 *
 * @param options Clock, node and longest hold.
 * @returns The ledger.
 *
 * @example
 * const { answer, released } = ledger.answer(announcement, { record, rightMs, isWithdrawn });
 */
export const createGrantLedger = (options: GrantLedgerOptions): GrantLedger => {
  const { clock, node, maxHoldMs } = options;
  let granted: readonly GrantedRange[] = [];
  let servesUntil = -Infinity;
  let holdEndsAt = clock.now() + maxHoldMs * CLOCK_ERROR + HOLD_MARGIN_MS;
  let life: Owner | undefined;
  /** Rows left out of the last answer, by their first key and token. */
  let leftOut = new Set<string>();
  const handovers: ReleasedRange[] = [];

  const rowKey = ({ from, to, token }: RangeRow) => `${from}-${to}-${token}`;

  const noteReleased = (released: readonly ReleasedRange[]) => {
    for (const one of released) {
      const known = handovers.some(({ handover }) => handover === one.handover);
      if (!known && one.handover !== '') handovers.push(one);
    }
    handovers.splice(0, Math.max(0, handovers.length - MAX_HANDOVERS));
  };

  const answer: GrantLedger['answer'] = (announcement, { record, rightMs, isWithdrawn }) => {
    const { instance, startedAt, held } = announcement;
    const owner: Owner = { node, instance, startedAt };
    if (!isSameOwner(life, owner)) {
      leftOut = new Set();
      handovers.length = 0;
      life = owner;
    }
    noteReleased(announcement.released);
    if (record === undefined) return { answer: { grants: undefined }, released: [] };
    const own = record.rows.filter((row) => isSameOwner(row.owner, owner));
    const keeps = own.filter((row) => row.successor === undefined && !isWithdrawn(row));
    const leaves = own.filter((row) => !keeps.includes(row));
    const released = leaves.filter((row) => (
      leftOut.has(rowKey(row)) && !held.some((range) => overlaps(range, row))
    ));
    const holdMs = Math.min(maxHoldMs, rightMs);
    if (holdMs <= 0) {
      return { answer: { grants: undefined }, released };
    }
    leftOut = new Set(leaves.map(rowKey));
    granted = keeps.map((row) => toGrant(row, held));
    servesUntil = clock.now() + holdMs;
    holdEndsAt = Math.max(holdEndsAt, clock.now() + holdMs * CLOCK_ERROR + HOLD_MARGIN_MS);
    return { answer: { grants: { ranges: granted, holdMs } }, released };
  };

  return {
    answer,
    mayServe: (key) => clock.now() < servesUntil && granted.some((range) => covers(range, key)),
    ranges: () => (clock.now() < servesUntil ? granted : []),
    holdLeftMs: () => Math.max(0, holdEndsAt - clock.now()),
    handovers: () => handovers,
    forget: () => {
      granted = [];
      servesUntil = -Infinity;
      leftOut = new Set();
      life = undefined;
    },
  };
};

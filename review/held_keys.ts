import { randomUUID } from 'node:crypto';

/** Keys from one to another with the epoch number of their grant. */
export type HeldRow = readonly [from: number, to: number, epoch: number];

/** A time in which an instance held a row, monotonic in ms. */
export interface HoldSpan {
  readonly row: HeldRow;
  readonly from: number;
  until: number;
}

/** The keys that an instance holds by the answers to its liveness reports. */
export interface HeldKeys {
  readonly rows: () => readonly HeldRow[];
  /** Rows released since the last acknowledged report, with their handovers. */
  readonly freed: () => readonly (readonly [number, number, string])[];
  readonly includes: (key: number) => boolean;
  /** Applies an answer to a report sent at this time; returns whether a row was released. */
  readonly apply: (rows: readonly HeldRow[] | undefined, holdMs: number, sentAt: number) => boolean;
  /** All spans so far. */
  readonly spans: () => readonly HoldSpan[];
}

/** Creates the keys of an instance that has just started, which holds none. */
export const createHeldKeys = (): HeldKeys => {
  const spans: HoldSpan[] = [];
  let open: HoldSpan[] = [];
  let freed: (readonly [number, number, string])[] = [];
  const current = () => open.filter(({ until }) => until > performance.now());
  return {
    rows: () => current().map(({ row }) => row),
    freed: () => freed,
    includes: (key) => current().some(({ row: [from, to] }) => key >= from && key <= to),
    apply: (granted, holdMs, sentAt) => {
      freed = [];
      // An answer without rows renews nothing, and releases nothing.
      if (granted === undefined) return false;
      const now = performance.now();
      const kept: HoldSpan[] = [];
      for (const span of current()) {
        const [from, to] = span.row;
        const isKept = granted.some((row) => row[0] <= from && row[1] >= to);
        if (isKept) kept.push(span);
        else {
          span.until = now;
          freed.push([from, to, randomUUID().replaceAll('-', '').slice(0, 16)]);
        }
      }
      open = granted.map(([from, to, epoch]) => {
        const known = kept.find(({ row }) => row[0] === from && row[1] === to && row[2] === epoch);
        if (known !== undefined) {
          known.until = sentAt + holdMs;
          return known;
        }
        const span: HoldSpan = { row: [from, to, epoch], from: now, until: sentAt + holdMs };
        spans.push(span);
        return span;
      });
      // Rows that were split or joined go on under their new bounds.
      for (const span of kept) if (!open.includes(span)) span.until = now;
      return freed.length > 0;
    },
    spans: () => spans,
  };
};

/** Two instances that held the same keys at the same time. */
export interface Overlap {
  readonly keys: readonly [from: number, to: number];
  readonly epochs: readonly [number, number];
  readonly ms: number;
  /** Start of the overlap, monotonic in ms. */
  readonly from: number;
}

/** Finds the times up to `now` in which both of two instances held some keys. */
export const findOverlaps = (
  one: readonly HoldSpan[],
  other: readonly HoldSpan[],
  now: number,
): readonly Overlap[] => {
  const overlaps: Overlap[] = [];
  for (const left of one) {
    for (const right of other) {
      const from = Math.max(left.row[0], right.row[0]);
      const to = Math.min(left.row[1], right.row[1]);
      const start = Math.max(left.from, right.from);
      const ms = Math.min(left.until, right.until, now) - start;
      if (from <= to && ms > 0) {
        overlaps.push({
          keys: [from, to], epochs: [left.row[2], right.row[2]], ms, from: start,
        });
      }
    }
  }
  return overlaps;
};

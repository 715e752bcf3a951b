import { performance } from 'node:perf_hooks';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  assignRanges, emptyRecord, encodeRecord, KEY_COUNT, type LoadCell, type Owner,
  planAssignments, planMoves, type RangeRecord, releaseRows, requestMoves,
} from '../ranges/mod.ts';
import type { Bench } from './bench.ts';

const OWNER_COUNTS = [13, 39, 108, 510] as const;
const CELLS_PER_OWNER = 12;
const PLANS = 20;
const HOT_RATE = 40;
const MAX_RATE = 6;
/** One owner in this many has a hot first cell. */
const HOT_OWNERS = 5;

/** Targets in ms of one core for one plan; the event loop of the smallest host has 0.27 cores. */
const PLAN_TARGETS_MS: Readonly<Record<number, number>> = { 108: 5, 510: 25 };

const ownersOf = (count: number): readonly Owner[] => Array.from({ length: count }, (_, index) => ({
  node: `host-${String(index).padStart(4, '0')}`, instance: `i-${index}`, startedAt: 1,
}));

/** Load cells of all owners; they have the width that the owners have at the start. */
const createCells = (count: number, seed: number): readonly LoadCell[] => {
  const random = xoroshiro128plus(seed);
  const width = Math.floor(KEY_COUNT / (count * CELLS_PER_OWNER));
  return Array.from({ length: count * CELLS_PER_OWNER }, (_, index) => {
    const isHot = index % (CELLS_PER_OWNER * HOT_OWNERS) === 0;
    return {
      from: index * width,
      to: index * width + width - 1,
      rate: isHot ? HOT_RATE : uniformInt(random, 0, MAX_RATE),
    };
  });
};

const runSize = (count: number, seed: number) => {
  const owners = ownersOf(count);
  const candidates = owners.map((owner) => ({ owner, capacity: 60 }));
  const first = planAssignments(emptyRecord, { candidates, cells: [] });
  const withoutKeys = count - new Set(first.map(({ owner }) => owner.node)).size;
  let record: RangeRecord = assignRanges(emptyRecord, first);
  const snapshot = { candidates, cells: createCells(count, seed) };
  const durations: number[] = [];
  for (let plan = 0; plan < PLANS; plan += 1) {
    const startedAt = performance.now();
    const moves = planMoves(record, snapshot);
    durations.push(performance.now() - startedAt);
    record = requestMoves(record, moves);
    const isMoving = ({ successor }: RangeRecord['rows'][number]) => successor !== undefined;
    record = releaseRows(record, isMoving, () => true, []);
  }
  durations.sort((left, right) => left - right);
  return {
    planMs: durations[Math.floor(PLANS / 2)]!,
    withoutKeys,
    rows: record.rows.length,
    bytes: encodeRecord(record).length,
  };
};

/** Measures plans of moves: their duration against the number of owners, and the record. */
export const runRangePlanningBench: Bench = async ({ seed }) => {
  runSize(OWNER_COUNTS[0], seed);
  const results = OWNER_COUNTS.map((count) => ({ count, ...runSize(count, seed) }));
  const base = results[0]!.planMs;
  return results.flatMap(({
    count, planMs, withoutKeys, rows, bytes,
  }) => {
    const row = (metric: string, unit: string, product: number, target?: number) => ({
      bench: 'range-planning',
      metric: `${metric}, ${count} owners`,
      unit,
      naive: null,
      product,
      target: target === undefined ? null : { relation: 'at most' as const, value: target },
    });
    return [
      row('plan of moves', 'ms', planMs, PLAN_TARGETS_MS[count]),
      row('plan relative to 13 owners', 'times', planMs / base),
      row('owners without keys at first', 'owners', withoutKeys, 0),
      row('rows after 20 plans', 'rows', rows),
      row('record after 20 plans', 'bytes', bytes),
    ];
  });
};

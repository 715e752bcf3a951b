import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Store } from '../store/mod.ts';
import { createBenchContract } from './_bench_contract.ts';
import { type ControlFleet, isSettled, startControlFleet } from './_control_fleet.ts';
import { createVirtualClock } from './_virtual_clock.ts';

/** Control traffic of a fleet on a virtual clock. */
export interface FleetFigures {
  readonly nodes: number;
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
  readonly heapBytesPerNode: number;
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  readonly waitingWatches: number;
  /** Traffic of one contract change beyond the steady traffic, per node. */
  readonly changeMessagesPerNode: number;
  readonly changeBytesPerNode: number;
  readonly changeContractBytes: number;
  readonly changeStoreReads: number;
  /** Virtual time until the change was in force everywhere; processing takes none. */
  readonly changeMs: number;
  readonly isSettled: boolean;
}

const WINDOW_MS = 10_000;
const SETTLE_LIMIT_S = 40;
const AFTER_SETTLE_MS = 8000;
const CHANGE_STEP_MS = 10;
const CHANGE_LIMIT_MS = 8000;

const heapBytes = () => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
};

const countWatches = () => {
  let waiting = 0;
  const storeOf = (_index: number, store: Store): Store => ({
    ...store,
    watch: async (...call) => {
      waiting += 1;
      const outcome = await store.watch(...call);
      waiting -= 1;
      return outcome;
    },
  });
  return { storeOf, waiting: () => waiting };
};

const totals = ({ network, store }: ControlFleet) => ({
  ...network!.counters(), ...store.counters(),
});

/** Runs a fleet of owners over the fake network and takes its steady and its change traffic. */
export const measureFleet = async (
  nodes: number,
  slotCount: number,
  seed: number,
): Promise<FleetFigures> => {
  const clock = createVirtualClock();
  const watches = countWatches();
  const heapBefore = heapBytes();
  const fleet = await startControlFleet(clock, {
    nodes, slotCount, seed, storeOf: watches.storeOf,
  });
  for (let second = 0; second < SETTLE_LIMIT_S && !isSettled(fleet); second += 1) {
    await clock.advance(1000);
  }
  for (const node of fleet.nodes) node.startPlacer();
  await clock.advance(AFTER_SETTLE_MS);
  const heapAfter = heapBytes();

  const before = totals(fleet);
  await clock.advance(WINDOW_MS);
  const after = totals(fleet);
  const nodeSeconds = (nodes * WINDOW_MS) / 1000;
  const settled = isSettled(fleet);

  const text = JSON.stringify(createBenchContract('bench', slotCount));
  const changeBefore = totals(fleet);
  const startMs = clock.now();
  const pending = fleet.nodes[0]!.contracts.apply(text, 0, 'bench');
  const isInForce = () => fleet.nodes.every(({ contracts }) => contracts.find('bench'));
  while (!isInForce() && clock.now() - startMs < CHANGE_LIMIT_MS) {
    await clock.advance(CHANGE_STEP_MS);
  }
  const changeMs = clock.now() - startMs;
  await pending;
  await clock.advance(WINDOW_MS - changeMs);
  const changeAfter = totals(fleet);
  // The steady traffic of the same duration is taken off.
  const extra = (kind: 'messages' | 'bytes') => (
    (changeAfter[kind] - changeBefore[kind] - (after[kind] - before[kind])) / nodes
  );
  const figures: FleetFigures = {
    nodes,
    messagesPerNodeSecond: (after.messages - before.messages) / nodeSeconds,
    bytesPerNodeSecond: (after.bytes - before.bytes) / nodeSeconds,
    heapBytesPerNode: (heapAfter - heapBefore) / nodes,
    storeReadsPerSecond: ((after.reads - before.reads) * 1000) / WINDOW_MS,
    storeWritesPerSecond: ((after.writes - before.writes) * 1000) / WINDOW_MS,
    waitingWatches: watches.waiting(),
    changeMessagesPerNode: extra('messages'),
    changeBytesPerNode: extra('bytes'),
    changeContractBytes: Buffer.byteLength(text),
    changeStoreReads: changeAfter.reads - changeBefore.reads
      + changeAfter.watches - changeBefore.watches,
    changeMs,
    isSettled: settled,
  };
  await fleet.stop();
  return figures;
};

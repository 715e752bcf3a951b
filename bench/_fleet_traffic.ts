import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Store } from '../store/mod.ts';
import { createBenchContract } from './_bench_contract.ts';
import { type ControlFleet, isFleetReady, startControlFleet } from './_control_fleet.ts';
import { createVirtualClock } from './_virtual_clock.ts';

/** Control traffic and memory of a fleet on a virtual clock. */
export interface FleetTraffic {
  readonly nodes: number;
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
  readonly heapBytesPerNode: number;
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  readonly waitingWatches: number;
  /** Messages of one contract change per node, without the steady traffic. */
  readonly changeMessagesPerNode: number;
  /** Bytes of one contract change per node, without the steady traffic. */
  readonly changeBytesPerNode: number;
  readonly changeContractBytes: number;
  readonly changeStoreReads: number;
  /** Virtual time until every node applied the change; processing takes no virtual time. */
  readonly changeMs: number;
  readonly isSettled: boolean;
}

const WINDOW_MS = 10_000;
const READY_TIMEOUT_S = 40;
const PLACER_SETTLE_MS = 8000;
const CHANGE_STEP_MS = 10;
const CHANGE_TIMEOUT_MS = 8000;

const collectGarbageAndReadHeapBytes = () => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
};

const createWatchCounter = () => {
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

const readCounters = ({ network, store }: ControlFleet) => ({
  ...network!.counters(), ...store.counters(),
});

/**
 * Runs a fleet of owners over the fake network and measures its steady traffic and the extra
 * traffic of one contract change.
 */
export const measureFleetTraffic = async (
  nodes: number,
  slotCount: number,
  seed: number,
): Promise<FleetTraffic> => {
  const clock = createVirtualClock();
  const watches = createWatchCounter();
  const heapBefore = collectGarbageAndReadHeapBytes();
  const fleet = await startControlFleet(clock, {
    nodes, slotCount, seed, storeOf: watches.storeOf,
  });
  for (let second = 0; second < READY_TIMEOUT_S && !isFleetReady(fleet); second += 1) {
    await clock.advance(1000);
  }
  for (const node of fleet.nodes) node.startPlacer();
  await clock.advance(PLACER_SETTLE_MS);
  const heapAfter = collectGarbageAndReadHeapBytes();

  const before = readCounters(fleet);
  await clock.advance(WINDOW_MS);
  const after = readCounters(fleet);
  const nodeSeconds = (nodes * WINDOW_MS) / 1000;
  const isReady = isFleetReady(fleet);

  const contractJson = JSON.stringify(createBenchContract('bench', slotCount));
  const changeBefore = readCounters(fleet);
  const startMs = clock.now();
  const applyPromise = fleet.nodes[0]!.contracts.apply(contractJson, 0, 'bench');
  const isInForce = () => fleet.nodes.every(({ contracts }) => contracts.find('bench'));
  while (!isInForce() && clock.now() - startMs < CHANGE_TIMEOUT_MS) {
    await clock.advance(CHANGE_STEP_MS);
  }
  const changeMs = clock.now() - startMs;
  await applyPromise;
  await clock.advance(WINDOW_MS - changeMs);
  const changeAfter = readCounters(fleet);
  // Subtracts the steady traffic of a window of the same duration.
  const extraPerNode = (kind: 'messages' | 'bytes') => (
    (changeAfter[kind] - changeBefore[kind] - (after[kind] - before[kind])) / nodes
  );
  const measurements: FleetTraffic = {
    nodes,
    messagesPerNodeSecond: (after.messages - before.messages) / nodeSeconds,
    bytesPerNodeSecond: (after.bytes - before.bytes) / nodeSeconds,
    heapBytesPerNode: (heapAfter - heapBefore) / nodes,
    storeReadsPerSecond: ((after.reads - before.reads) * 1000) / WINDOW_MS,
    storeWritesPerSecond: ((after.writes - before.writes) * 1000) / WINDOW_MS,
    waitingWatches: watches.waiting(),
    changeMessagesPerNode: extraPerNode('messages'),
    changeBytesPerNode: extraPerNode('bytes'),
    changeContractBytes: Buffer.byteLength(contractJson),
    changeStoreReads: changeAfter.reads - changeBefore.reads
      + changeAfter.watches - changeBefore.watches,
    changeMs,
    isSettled: isReady,
  };
  await fleet.stop();
  return measurements;
};

import { type Clock, createSystemClock } from '../clock/mod.ts';
import { createGrpcTransport } from '../peer/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createBenchContract } from './_bench_contract.ts';
import { type ControlFleet, isFleetReady, startControlFleet } from './_control_fleet.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'configuration';
const SLOT_COUNT = 256;
const APPLY_COUNT = 12;
const NAIVE_APPLY_COUNT = 12;
const NAIVE_POLL_INTERVAL_MS = 5000;
const STORE_DELAY_MS = 2;
const POLL_INTERVAL_MS = 2;
const APPLY_TIMEOUT_MS = 12_000;
const READY_TIMEOUT_MS = 12_000;
const PAUSE_BETWEEN_APPLIES_MS = 100;
const MAX_SMALL_FLEET_MS = 2000;
const MAX_LARGE_FLEET_MS = 11_000;
const LARGE_FLEET_SIZE = 510;
const CREDENTIAL = 'bench-fleet-credential';
/** Up to this size the nodes use gRPC over loopback, above it the fake network. */
const MAX_GRPC_NODES = 16;
const FLEET_SIZES = [16, 32, 64];

const waitFor = async (clock: Clock, timeoutMs: number, isDone: () => boolean) => {
  const endMs = clock.now() + timeoutMs;
  while (!isDone() && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
};

const startFleet = (clock: Clock, nodes: number, seed: number) => startControlFleet(clock, {
  nodes,
  slotCount: SLOT_COUNT,
  seed,
  ...(nodes > MAX_GRPC_NODES ? {} : {
    startTransport: async (self) => {
      const transport = await createGrpcTransport({
        clock, logger: noopLogger, self, listenAddress: '127.0.0.1:0', credential: CREDENTIAL,
      });
      return { transport, address: transport.address };
    },
  }),
});

/** Measures the times in ms from an accepted apply until every node has compiled the contract. */
const measureApplies = async (clock: Clock, fleet: ControlFleet): Promise<readonly number[]> => {
  const propagationTimesMs: number[] = [];
  for (let number = 0; number < APPLY_COUNT; number += 1) {
    const contract = createBenchContract('bench', SLOT_COUNT, `-${number}`);
    const { contracts } = fleet.nodes[number % fleet.nodes.length]!;
    const baseRevision = contracts.find('bench')?.revision ?? 0;
    const applied = await contracts.apply(JSON.stringify(contract), baseRevision, 'bench');
    if (applied.isErr()) throw applied.error;
    const acceptedMs = clock.now();
    const { revision } = applied.value;
    await waitFor(clock, APPLY_TIMEOUT_MS, () => fleet.nodes.every((node) => (
      (node.contracts.find('bench')?.revision ?? 0) >= revision
    )));
    propagationTimesMs.push(clock.now() - acceptedMs);
    await clock.sleep(PAUSE_BETWEEN_APPLIES_MS);
  }
  return propagationTimesMs;
};

const measureProduct = async (clock: Clock, nodes: number, seed: number) => {
  const fleet = await startFleet(clock, nodes, seed);
  await waitFor(clock, READY_TIMEOUT_MS, () => isFleetReady(fleet));
  const propagationTimesMs = await measureApplies(clock, fleet);
  await fleet.stop();
  return propagationTimesMs;
};

/** Measures the naive version, in which every node polls the store every 5 s at a random phase. */
const measureNaive = async (clock: Clock, nodes: number): Promise<readonly number[]> => {
  const store = createMemoryStore(clock);
  store.setDelay(STORE_DELAY_MS);
  const seenKeys = new Array<Set<string>>(nodes);
  let stopped = false;
  const poll = async (index: number) => {
    seenKeys[index] = new Set();
    await clock.sleep(Math.random() * NAIVE_POLL_INTERVAL_MS);
    while (!stopped) {
      const listed = await store.list('contracts/');
      if (listed.isOk()) for (const { key } of listed.value) seenKeys[index].add(key);
      await clock.sleep(NAIVE_POLL_INTERVAL_MS);
    }
  };
  for (let index = 0; index < nodes; index += 1) poll(index);
  const apply = async (number: number) => {
    await clock.sleep(Math.random() * NAIVE_POLL_INTERVAL_MS);
    const key = `contracts/c${number}`;
    await store.compareAndSwap(key, 0, '{}');
    const acceptedMs = clock.now();
    await waitFor(clock, APPLY_TIMEOUT_MS, () => seenKeys.every((keys) => keys.has(key)));
    return clock.now() - acceptedMs;
  };
  const propagationTimesMs = await Promise.all(
    Array.from({ length: NAIVE_APPLY_COUNT }, (_, index) => apply(index)),
  );
  stopped = true;
  return propagationTimesMs;
};

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

/** Extrapolates linearly from the smallest and the largest measured fleet. */
const extrapolate = (maxTimesMs: readonly number[]) => {
  const [first, last] = [maxTimesMs[0]!, maxTimesMs.at(-1)!];
  const [from, to] = [FLEET_SIZES[0]!, FLEET_SIZES.at(-1)!];
  return last + Math.max(0, (last - first) / (to - from)) * (LARGE_FLEET_SIZE - to);
};

/** Measures the time from an accepted apply until the contract is in force on every node. */
export const runConfigurationBench: Bench = async ({ seed }) => {
  const clock = createSystemClock();
  const naive = Promise.all(FLEET_SIZES.map((nodes) => measureNaive(clock, nodes)));
  const product: (readonly number[])[] = [];
  for (const nodes of FLEET_SIZES) product.push(await measureProduct(clock, nodes, seed));
  const naiveTimesMs = await naive;
  const maxTimesMs = (all: readonly (readonly number[])[]) => all.map((timesMs) => (
    Math.max(...timesMs)
  ));
  const rows = FLEET_SIZES.flatMap((nodes, index): readonly BenchRow[] => {
    const transportName = nodes > MAX_GRPC_NODES ? 'fake network' : 'gRPC';
    const shared = { bench: BENCH, unit: 'ms' };
    return [{
      ...shared,
      metric: `in force everywhere, ${nodes} nodes (${transportName}), highest of ${APPLY_COUNT}`,
      naive: Math.max(...naiveTimesMs[index]!),
      product: Math.max(...product[index]!),
      target: { relation: 'at most', value: MAX_SMALL_FLEET_MS },
    }, {
      ...shared,
      metric: `in force everywhere, ${nodes} nodes (${transportName}), p50`,
      naive: median(naiveTimesMs[index]!),
      product: median(product[index]!),
      target: null,
    }];
  });
  return [...rows, {
    bench: BENCH,
    metric: `in force everywhere, ${LARGE_FLEET_SIZE} nodes, extrapolated`,
    unit: 'ms',
    naive: extrapolate(maxTimesMs(naiveTimesMs)),
    product: extrapolate(maxTimesMs(product)),
    target: { relation: 'at most', value: MAX_LARGE_FLEET_MS },
  }];
};

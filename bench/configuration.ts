import { type Clock, createSystemClock } from '../clock/mod.ts';
import { createGrpcTransport } from '../peer/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { createBenchContract } from './_bench_contract.ts';
import { type ControlFleet, isSettled, startControlFleet } from './_control_fleet.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'configuration';
const SLOT_COUNT = 256;
const APPLIES = 12;
const NAIVE_APPLIES = 12;
const NAIVE_POLL_MS = 5000;
const STORE_DELAY_MS = 2;
const POLL_INTERVAL_MS = 2;
const APPLY_LIMIT_MS = 12_000;
const SETTLE_LIMIT_MS = 12_000;
const PAUSE_MS = 100;
const TARGET_SMALL_MS = 2000;
const TARGET_LARGE_MS = 11_000;
const LARGE_FLEET = 510;
const CREDENTIAL = 'bench-fleet-credential';
/** Up to this size the nodes talk over gRPC on loopback, above it over the fake network. */
const MAX_GRPC_NODES = 16;
const SIZES = [16, 32, 64];

const waitFor = async (clock: Clock, limitMs: number, isDone: () => boolean) => {
  const endMs = clock.now() + limitMs;
  while (!isDone() && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
};

const startFleet = (clock: Clock, nodes: number, seed: number) => startControlFleet(clock, {
  nodes,
  slotCount: SLOT_COUNT,
  seed,
  ...(nodes > MAX_GRPC_NODES ? {} : {
    listen: async (self) => {
      const transport = await createGrpcTransport({
        clock, logger: silentLogger, self, listenAddress: '127.0.0.1:0', credential: CREDENTIAL,
      });
      return { transport, address: transport.address };
    },
  }),
});

/** Times in ms from the accepted apply until every node has compiled the contract. */
const measureApplies = async (clock: Clock, fleet: ControlFleet): Promise<readonly number[]> => {
  const times: number[] = [];
  for (let number = 0; number < APPLIES; number += 1) {
    const contract = createBenchContract('bench', SLOT_COUNT, `-${number}`);
    const { contracts } = fleet.nodes[number % fleet.nodes.length]!;
    const base = contracts.find('bench')?.revision ?? 0;
    const applied = await contracts.apply(JSON.stringify(contract), base, 'bench');
    if (applied.isErr()) throw applied.error;
    const acceptedMs = clock.now();
    const { revision } = applied.value;
    await waitFor(clock, APPLY_LIMIT_MS, () => fleet.nodes.every((node) => (
      (node.contracts.find('bench')?.revision ?? 0) >= revision
    )));
    times.push(clock.now() - acceptedMs);
    await clock.sleep(PAUSE_MS);
  }
  return times;
};

const measureProduct = async (clock: Clock, nodes: number, seed: number) => {
  const fleet = await startFleet(clock, nodes, seed);
  await waitFor(clock, SETTLE_LIMIT_MS, () => isSettled(fleet));
  const times = await measureApplies(clock, fleet);
  await fleet.stop();
  return times;
};

/** Every node reads the store each 5 s, at a random phase. */
const measureNaive = async (clock: Clock, nodes: number): Promise<readonly number[]> => {
  const store = createMemoryStore(clock);
  store.setDelay(STORE_DELAY_MS);
  const seen = new Array<Set<string>>(nodes);
  let stopped = false;
  const poll = async (index: number) => {
    seen[index] = new Set();
    await clock.sleep(Math.random() * NAIVE_POLL_MS);
    while (!stopped) {
      const listed = await store.list('contracts/');
      if (listed.isOk()) for (const { key } of listed.value) seen[index].add(key);
      await clock.sleep(NAIVE_POLL_MS);
    }
  };
  for (let index = 0; index < nodes; index += 1) poll(index);
  const apply = async (number: number) => {
    await clock.sleep(Math.random() * NAIVE_POLL_MS);
    const key = `contracts/c${number}`;
    await store.compareAndSwap(key, 0, '{}');
    const acceptedMs = clock.now();
    await waitFor(clock, APPLY_LIMIT_MS, () => seen.every((keys) => keys.has(key)));
    return clock.now() - acceptedMs;
  };
  const times = await Promise.all(Array.from({ length: NAIVE_APPLIES }, (_, index) => (
    apply(index)
  )));
  stopped = true;
  return times;
};

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

/** Continues the line through the smallest and the largest measured fleet. */
const extrapolate = (highest: readonly number[]) => {
  const [first, last] = [highest[0]!, highest.at(-1)!];
  const [from, to] = [SIZES[0]!, SIZES.at(-1)!];
  return last + Math.max(0, (last - first) / (to - from)) * (LARGE_FLEET - to);
};

/** Time from an accepted apply until the contract is in force on every node. */
export const runConfigurationBench: Bench = async ({ seed }) => {
  const clock = createSystemClock();
  const naive = Promise.all(SIZES.map((nodes) => measureNaive(clock, nodes)));
  const product: (readonly number[])[] = [];
  for (const nodes of SIZES) product.push(await measureProduct(clock, nodes, seed));
  const naiveTimes = await naive;
  const highestOf = (all: readonly (readonly number[])[]) => all.map((times) => (
    Math.max(...times)
  ));
  const rows = SIZES.flatMap((nodes, index): readonly BenchRow[] => {
    const link = nodes > MAX_GRPC_NODES ? 'fake network' : 'gRPC';
    const shared = { bench: BENCH, unit: 'ms' };
    return [{
      ...shared,
      metric: `in force everywhere, ${nodes} nodes (${link}), highest of ${APPLIES}`,
      naive: Math.max(...naiveTimes[index]!),
      product: Math.max(...product[index]!),
      target: { relation: 'at most', value: TARGET_SMALL_MS },
    }, {
      ...shared,
      metric: `in force everywhere, ${nodes} nodes (${link}), p50`,
      naive: median(naiveTimes[index]!),
      product: median(product[index]!),
      target: null,
    }];
  });
  return [...rows, {
    bench: BENCH,
    metric: `in force everywhere, ${LARGE_FLEET} nodes, extrapolated`,
    unit: 'ms',
    naive: extrapolate(highestOf(naiveTimes)),
    product: extrapolate(highestOf(product)),
    target: { relation: 'at most', value: TARGET_LARGE_MS },
  }];
};

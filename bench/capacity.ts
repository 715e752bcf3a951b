import { createSystemClock } from '../clock/mod.ts';
import { createGrpcTransport } from '../peer/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { isFleetReady, startControlFleet } from './_control_fleet.ts';
import { type FleetTraffic, measureFleetTraffic } from './_fleet_traffic.ts';
import { measureDomainLoss, measureRecord } from './_record_cost.ts';
import type { Bench, BenchRow, BenchTarget } from './bench.ts';

const BENCH = 'capacity';
const SLOT_COUNT = 1024;
// Larger fleets would exceed the run time of this benchmark; `fleet_main.ts` measures them.
const FLEET_SIZES = [8, 16, 32];
const GRPC_FLEET_SIZES = [8, 32];
const GRPC_WINDOW_MS = 1500;
const GRPC_READY_TIMEOUT_MS = 5000;
const POLL_INTERVAL_MS = 20;
const CREDENTIAL = 'bench-fleet-credential';
/** Numbers of different fencing tokens: of a new record and of one after 500 changes. */
const TOKEN_COUNTS = [1, 500];
const LOSS_TOKEN_COUNT = 500;
/** Time for the takeover: the target of 2 s minus the lease of 900 ms. */
const TAKEOVER_BUDGET_MS = 1100;
const MAX_CPU_PERCENT = 1.7;
const MAX_CONTROL_BYTES_PER_S = 8192;
const MAX_CONTROL_HEAP_MB = 64;
const BYTES_PER_MB = 1_000_000;

const atMost = (value: number): BenchTarget => ({ relation: 'at most', value });

const row = (
  metric: string,
  unit: string,
  product: number,
  target: BenchTarget | null = null,
): BenchRow => ({
  bench: BENCH, metric, unit, naive: null, product, target,
});

const createFleetRows = (traffic: FleetTraffic): readonly BenchRow[] => {
  const fleetLabel = `${traffic.nodes} nodes`;
  return [
    row(`${fleetLabel}: control messages`, 'per node and s', traffic.messagesPerNodeSecond),
    row(
      `${fleetLabel}: control bytes`,
      'per node and s',
      traffic.bytesPerNodeSecond,
      atMost(MAX_CONTROL_BYTES_PER_S),
    ),
    row(
      `${fleetLabel}: heap of the control parts`,
      'MB per node',
      traffic.heapBytesPerNode / BYTES_PER_MB,
      atMost(MAX_CONTROL_HEAP_MB),
    ),
    row(`${fleetLabel}: store reads`, 'per s', traffic.storeReadsPerSecond),
    row(`${fleetLabel}: store writes`, 'per s', traffic.storeWritesPerSecond),
    row(`${fleetLabel}: waiting watches`, 'count', traffic.waitingWatches),
    row(`${fleetLabel}: contract change, messages`, 'per node', traffic.changeMessagesPerNode),
    row(`${fleetLabel}: contract change, bytes`, 'per node', traffic.changeBytesPerNode),
    row(`${fleetLabel}: contract change, store reads`, 'count', traffic.changeStoreReads),
  ];
};

/** Measures the CPU time of the control plane over gRPC in percent of a core per node. */
const measureCpuPercent = async (nodes: number, seed: number): Promise<number> => {
  const clock = createSystemClock();
  const fleet = await startControlFleet(clock, {
    nodes,
    slotCount: SLOT_COUNT,
    seed,
    startTransport: async (self) => {
      const transport = await createGrpcTransport({
        clock, logger: noopLogger, self, listenAddress: '127.0.0.1:0', credential: CREDENTIAL,
      });
      return { transport, address: transport.address };
    },
  });
  const endMs = clock.now() + GRPC_READY_TIMEOUT_MS;
  while (!isFleetReady(fleet) && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
  for (const node of fleet.nodes) node.startPlacer();
  // Excludes connection setup and JIT compilation from the measurement.
  await clock.sleep(GRPC_WINDOW_MS);
  const before = process.cpuUsage();
  const startMs = clock.now();
  await clock.sleep(GRPC_WINDOW_MS);
  const { user, system } = process.cpuUsage(before);
  const percent = ((user + system) / 1000 / (clock.now() - startMs) / nodes) * 100;
  await fleet.stop();
  return percent;
};

const createRecordRows = (tokens: number, seed: number): readonly BenchRow[] => {
  const { bytes, encodeMs, decodeMs } = measureRecord(tokens, seed);
  const recordLabel = `record of 32768 slots, 510 owners, ${tokens} tokens`;
  return [
    row(`${recordLabel}: size`, 'bytes', bytes, atMost(1024 * 1024)),
    row(`${recordLabel}: encode`, 'ms', encodeMs),
    row(`${recordLabel}: decode`, 'ms', decodeMs),
  ];
};

const createLossRows = (seed: number): readonly BenchRow[] => {
  const loss = measureDomainLoss(LOSS_TOKEN_COUNT, seed);
  const lossLabel = `loss of a failure domain, ${loss.lostOwners} owners`;
  return [
    row(
      `${lossLabel}: decode, change and encode once for each, extrapolated from ${
        loss.measuredOwners}`,
      'ms',
      loss.durationMs,
      atMost(TAKEOVER_BUDGET_MS),
    ),
    row(`${lossLabel}: bytes written to remove them`, 'bytes', loss.writtenBytes),
    row(`${lossLabel}: owners that receive their slots`, 'count', loss.receivers),
  ];
};

/** Measures the control plane cost by number of nodes and the cost of a full placement record. */
export const runCapacityBench: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const nodes of FLEET_SIZES) {
    rows.push(...createFleetRows(await measureFleetTraffic(nodes, SLOT_COUNT, seed)));
  }
  for (const nodes of GRPC_FLEET_SIZES) {
    const percent = await measureCpuPercent(nodes, seed);
    rows.push(row(
      `${nodes} nodes over gRPC: processor time of control`,
      '% of a core per node',
      percent,
      atMost(MAX_CPU_PERCENT),
    ));
  }
  for (const tokens of TOKEN_COUNTS) rows.push(...createRecordRows(tokens, seed));
  rows.push(...createLossRows(seed));
  return rows;
};

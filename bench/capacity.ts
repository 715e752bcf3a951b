import { createSystemClock } from '../clock/mod.ts';
import { createGrpcTransport } from '../peer/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { isSettled, startControlFleet } from './_control_fleet.ts';
import { type FleetFigures, measureFleet } from './_fleet_slopes.ts';
import { measureDomainLoss, measureRecord } from './_record_cost.ts';
import type { Bench, BenchRow, BenchTarget } from './bench.ts';

const BENCH = 'capacity';
const SLOT_COUNT = 1024;
// `fleet_main.ts` measures larger fleets, for which this bench has no time.
const FLEET_SIZES = [8, 16, 32];
const GRPC_SIZES = [8, 32];
const GRPC_WINDOW_MS = 1500;
const GRPC_SETTLE_LIMIT_MS = 5000;
const POLL_INTERVAL_MS = 20;
const CREDENTIAL = 'bench-fleet-credential';
/** Different fencing tokens: a new record, and one after 500 changes. */
const TOKEN_COUNTS = [1, 500];
const LOSS_TOKENS = 500;
/** What is left of 2 s after the lease of 900 ms. */
const TAKEOVER_BUDGET_MS = 1100;
const PERCENT_OF_CORE = 1.7;
const CONTROL_BYTES = 8192;
const CONTROL_MB = 64;
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

const fleetRows = (figures: FleetFigures): readonly BenchRow[] => {
  const at = `${figures.nodes} nodes`;
  return [
    row(`${at}: control messages`, 'per node and s', figures.messagesPerNodeSecond),
    row(
      `${at}: control bytes`,
      'per node and s',
      figures.bytesPerNodeSecond,
      atMost(CONTROL_BYTES),
    ),
    row(
      `${at}: heap of the control parts`,
      'MB per node',
      figures.heapBytesPerNode / BYTES_PER_MB,
      atMost(CONTROL_MB),
    ),
    row(`${at}: store reads`, 'per s', figures.storeReadsPerSecond),
    row(`${at}: store writes`, 'per s', figures.storeWritesPerSecond),
    row(`${at}: waiting watches`, 'count', figures.waitingWatches),
    row(`${at}: contract change, messages`, 'per node', figures.changeMessagesPerNode),
    row(`${at}: contract change, bytes`, 'per node', figures.changeBytesPerNode),
    row(`${at}: contract change, store reads`, 'count', figures.changeStoreReads),
  ];
};

/** Processor time of the control parts over gRPC, as a percentage of a core per node. */
const measureProcessor = async (nodes: number, seed: number): Promise<number> => {
  const clock = createSystemClock();
  const fleet = await startControlFleet(clock, {
    nodes,
    slotCount: SLOT_COUNT,
    seed,
    listen: async (self) => {
      const transport = await createGrpcTransport({
        clock, logger: silentLogger, self, listenAddress: '127.0.0.1:0', credential: CREDENTIAL,
      });
      return { transport, address: transport.address };
    },
  });
  const endMs = clock.now() + GRPC_SETTLE_LIMIT_MS;
  while (!isSettled(fleet) && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
  for (const node of fleet.nodes) node.startPlacer();
  // New connections and compilation are left out.
  await clock.sleep(GRPC_WINDOW_MS);
  const before = process.cpuUsage();
  const startMs = clock.now();
  await clock.sleep(GRPC_WINDOW_MS);
  const { user, system } = process.cpuUsage(before);
  const percent = ((user + system) / 1000 / (clock.now() - startMs) / nodes) * 100;
  await fleet.stop();
  return percent;
};

const recordRows = (tokens: number, seed: number): readonly BenchRow[] => {
  const { bytes, encodeMs, decodeMs } = measureRecord(tokens, seed);
  const of = `record of 32768 slots, 510 owners, ${tokens} tokens`;
  return [
    row(`${of}: size`, 'bytes', bytes, atMost(1024 * 1024)),
    row(`${of}: encode`, 'ms', encodeMs),
    row(`${of}: decode`, 'ms', decodeMs),
  ];
};

const lossRows = (seed: number): readonly BenchRow[] => {
  const loss = measureDomainLoss(LOSS_TOKENS, seed);
  const of = `loss of a failure domain, ${loss.lostOwners} owners`;
  return [
    row(
      `${of}: decode, change and encode once for each, extrapolated from ${loss.measuredOwners}`,
      'ms',
      loss.processorMs,
      atMost(TAKEOVER_BUDGET_MS),
    ),
    row(`${of}: bytes written to remove them`, 'bytes', loss.writtenBytes),
    row(`${of}: owners that receive their slots`, 'count', loss.receivers),
  ];
};

/** Slopes of the control cost against the number of nodes, and the cost of a full record. */
export const runCapacityBench: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const nodes of FLEET_SIZES) {
    rows.push(...fleetRows(await measureFleet(nodes, SLOT_COUNT, seed)));
  }
  for (const nodes of GRPC_SIZES) {
    const percent = await measureProcessor(nodes, seed);
    rows.push(row(
      `${nodes} nodes over gRPC: processor time of control`,
      '% of a core per node',
      percent,
      atMost(PERCENT_OF_CORE),
    ));
  }
  for (const tokens of TOKEN_COUNTS) rows.push(...recordRows(tokens, seed));
  rows.push(...lossRows(seed));
  return rows;
};

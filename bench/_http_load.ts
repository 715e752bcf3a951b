import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';

/** Results of a load run. */
export interface LoadResult {
  readonly requests: number;
  /** Requests without a response of status 200. */
  readonly failed: number;
  /** Throughput of successful requests. */
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Options of a load run. */
export interface LoadOptions {
  readonly clock: Clock;
  /** `host:port` of the targets; each loop sends to one of them. */
  readonly targets: readonly string[];
  /** Returns the path of a request by its sequence number. */
  readonly path: (sequence: number) => string;
  readonly headers: Readonly<Record<string, string>>;
  /** Number of requests in flight. */
  readonly concurrency: number;
  readonly durationMs: number;
  /** Ends the run early. */
  readonly signal?: AbortSignal;
}

const US_PER_MS = 1000;
const MAX_LATENCY_US = 60_000_000;

const percentileMs = (histogram: Histogram, percentile: number) => (
  histogram.getValueAtPercentile(percentile) / US_PER_MS
);

/** Sends requests in closed loops: each response is followed by the next request. */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const {
    clock, targets, path, headers, concurrency, durationMs, signal,
  } = options;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  const pools = targets.map((target) => new Pool(`http://${target}`, {
    connections: Math.ceil(concurrency / targets.length), pipelining: 1,
  }));
  const startMs = clock.now();
  let requests = 0;
  let failed = 0;

  const send = async (pool: Pool) => {
    const sentMs = clock.now();
    requests += 1;
    try {
      const response = await pool.request({ method: 'GET', path: path(requests), headers });
      await response.body.dump();
      if (response.statusCode !== 200) failed += 1;
      histogram.recordValue(Math.max(1, Math.round((clock.now() - sentMs) * US_PER_MS)));
    } catch {
      failed += 1;
    }
  };

  const sendInClosedLoop = async (index: number) => {
    const pool = pools[index % pools.length]!;
    while (clock.now() - startMs < durationMs && !signal?.aborted) await send(pool);
  };
  await Promise.all(Array.from({ length: concurrency }, (_, index) => sendInClosedLoop(index)));
  const elapsedMs = clock.now() - startMs;
  await Promise.all(pools.map((pool) => pool.destroy()));
  return {
    requests,
    failed,
    requestsPerSecond: ((requests - failed) * 1000) / elapsedMs,
    p50Ms: percentileMs(histogram, 50),
    p99Ms: percentileMs(histogram, 99),
  };
};

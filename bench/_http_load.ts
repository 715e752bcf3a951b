import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';

/** What a run of requests gave. */
export interface LoadResult {
  readonly requests: number;
  readonly failed: number;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Options of a run of requests. */
export interface LoadOptions {
  readonly clock: Clock;
  /** `host:port` of the targets; each connection stays with one of them. */
  readonly targets: readonly string[];
  readonly path: (number: number) => string;
  readonly headers: Readonly<Record<string, string>>;
  /** Requests in flight at a time. */
  readonly concurrency: number;
  readonly durationMs: number;
  /** Ends the run early. */
  readonly signal?: AbortSignal;
}

const MICROSECONDS = 1000;
const HIGHEST_US = 60_000_000;

const percentileMs = (histogram: Histogram, percentile: number) => (
  histogram.getValueAtPercentile(percentile) / MICROSECONDS
);

/** Sends requests in a closed loop: each answer is followed by the next request. */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const {
    clock, targets, path, headers, concurrency, durationMs, signal,
  } = options;
  const histogram = build({
    lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3,
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
      const answer = await pool.request({ method: 'GET', path: path(requests), headers });
      await answer.body.dump();
      if (answer.statusCode !== 200) failed += 1;
      histogram.recordValue(Math.max(1, Math.round((clock.now() - sentMs) * MICROSECONDS)));
    } catch {
      failed += 1;
    }
  };

  const loop = async (index: number) => {
    const pool = pools[index % pools.length]!;
    while (clock.now() - startMs < durationMs && !signal?.aborted) await send(pool);
  };
  await Promise.all(Array.from({ length: concurrency }, (_, index) => loop(index)));
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

import { createSystemClock } from '../clock/mod.ts';
import {
  createGarbageCollector, createHeapGuard, type Logger, noopLogger, readHeapUsage,
} from './mod.ts';

/** What a process with a steady load of requests has seen; its last line of output as JSON. */
export interface HeapLoadReport {
  readonly requests: number;
  readonly refused: number;
  readonly collections: number;
  /** Longest time in ms that a request spent in the guard. */
  readonly maxCheckMs: number;
  /** Mean time in µs that a request spent in the guard. */
  readonly meanCheckMicroseconds: number;
  /** Largest used fraction of the heap, garbage included. */
  readonly maxUsedFraction: number;
}

const LOAD_MS = 8000;
const TICK_MS = 5;
const REQUESTS_PER_TICK = 5;
const ARRAYS_PER_REQUEST = 30;
/** An array of this length takes about a kilobyte. */
const ARRAY_LENGTH = 125;
/** Spans two young collections, so that requests end as garbage of the old generation. */
const REQUEST_MS = 250;

const fractionInUse = Number(process.argv[2]);

const countingLogger = (onInfo: () => void): Logger => {
  const logger: Logger = { ...noopLogger, info: onInfo, forComponent: () => logger };
  return logger;
};

/** Keeps the arrays in use until the end of the process. */
const inUse: number[][] = [];

const allocateArray = (value: number) => new Array<number>(ARRAY_LENGTH).fill(value);

const run = async (): Promise<HeapLoadReport> => {
  const clock = createSystemClock();
  const collectGarbage = createGarbageCollector();
  const readFraction = () => {
    const { usedBytes, limitBytes } = readHeapUsage();
    return usedBytes / limitBytes;
  };
  const inFlight: { readonly endsAt: number; readonly content: number[][] }[] = [];
  collectGarbage();
  while (readFraction() < fractionInUse) {
    for (let index = 0; index < 100; index += 1) inUse.push(allocateArray(index));
  }
  collectGarbage();

  let collections = 0;
  const guard = createHeapGuard({
    clock,
    logger: countingLogger(() => {
      collections += 1;
    }),
    readHeap: readHeapUsage,
    collectGarbage,
  });
  let requests = 0;
  let refused = 0;
  let maxCheckMs = 0;
  let totalCheckMs = 0;
  let maxUsedFraction = 0;
  const handleRequest = () => {
    const startedAt = performance.now();
    const isAccepted = guard.mayAccept();
    const checkMs = performance.now() - startedAt;
    maxCheckMs = Math.max(maxCheckMs, checkMs);
    totalCheckMs += checkMs;
    requests += 1;
    if (!isAccepted) {
      refused += 1;
      return;
    }
    const content = Array.from({ length: ARRAYS_PER_REQUEST }, (_, index) => allocateArray(index));
    inFlight.push({ endsAt: clock.now() + REQUEST_MS, content });
  };
  const startedAt = clock.now();
  for (let tick = 0; clock.now() - startedAt < LOAD_MS; tick += 1) {
    while (inFlight[0] !== undefined && inFlight[0].endsAt <= clock.now()) inFlight.shift();
    for (let index = 0; index < REQUESTS_PER_TICK; index += 1) handleRequest();
    inUse[tick % inUse.length] = allocateArray(tick);
    maxUsedFraction = Math.max(maxUsedFraction, guard.usedFraction());
    await clock.sleep(TICK_MS);
  }
  return {
    requests,
    refused,
    collections,
    maxCheckMs,
    meanCheckMicroseconds: (totalCheckMs / requests) * 1000,
    maxUsedFraction,
  };
};

process.stdout.write(`${JSON.stringify(await run())}\n`);
process.exit(0);

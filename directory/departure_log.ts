import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import type { LeasedStore, StoreEras } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { departuresKey } from './store_keys.ts';

/** The acknowledged departure of an instance. */
export interface Departure {
  readonly instance: string;
  /**
   * Start time of the instance's process in ms since the Unix epoch; undefined if the instance did
   * not say it, which means any process that started before it left.
   */
  readonly startedAt: number | undefined;
  /** Wall-clock time in ms of the acknowledgement. */
  readonly leftAt: number;
}

/** The departures that a node has acknowledged; they outlast its process. */
export interface DepartureLog {
  /** Stores a departure; resolves to false if the store has not confirmed it in time. */
  readonly add: (departure: Departure) => Promise<boolean>;
  /** Returns the departures of this process and of earlier ones, as far as they are known. */
  readonly departures: () => readonly Departure[];
  /**
   * Returns whether the departures of earlier processes are known, or so old that their instances
   * have ended.
   */
  readonly isSettled: () => boolean;
  /** Reads the departures of earlier processes and retries failed writes until `signal` aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options for `createDepartureLog`. */
export interface DepartureLogOptions {
  readonly clock: Clock;
  readonly store: Pick<LeasedStore, 'get' | 'grantLease' | 'transact'>;
  readonly node: string;
  readonly logger: Logger;
  /** Eras of the store; after a rise the stored departures may be gone. */
  readonly eras?: Pick<StoreEras, 'onRise'>;
  /** Called when the departures were stored again after a rise. */
  readonly onRewrite?: () => void;
}

/** An instance runs on for seconds after its departure; the store then drops its record. */
const RETENTION_MS = 120_000;
/** Limits the size of the record if another writer reports departures without end. */
const MAX_DEPARTURES = 16;
/** The acknowledgement must arrive within a second. */
const CONFIRM_LIMIT_MS = 600;
const RETRY_INTERVAL_MS = 300;
/** Only a failed write gives cause to act, and it ends the wait. */
const IDLE_INTERVAL_MS = 60_000;
/**
 * Time in ms after the start of this process in which an instance that left before may still run.
 * A store that is away for longer must not keep an instance from its work.
 */
const SETTLE_LIMIT_MS = 10_000;

const recordSchema = z.array(z.object({
  instance: z.string(),
  startedAt: z.number().optional(),
  leftAt: z.number(),
}));

const decodeDepartures = (text: string): readonly Departure[] | undefined => {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text));
    return parsed.success
      ? parsed.data.map((departure) => ({ ...departure, startedAt: departure.startedAt }))
      : undefined;
  } catch {
    return undefined;
  }
};

const isSame = (left: Departure, right: Departure) => (
  left.instance === right.instance && left.startedAt === right.startedAt
);

/**
 * Creates the log of a node. A restarted process would otherwise forget the departures that an
 * earlier one acknowledged, and use an instance again whose last announcement arrives late.
 *
 * @param options Clock, store, node and logger.
 * @returns The log; it makes no call to the store until it is run or a departure is added.
 *
 * @example
 * const log = createDepartureLog({ clock, store, node: 'host-1', logger });
 * void log.run(signal);
 * const isStored = await log.add({ instance: 'i-1', startedAt: 5, leftAt: clock.wallTime() });
 */
export const createDepartureLog = (options: DepartureLogOptions): DepartureLog => {
  const { clock, store } = options;
  const logger = options.logger.forComponent('departures');
  const key = departuresKey(options.node);
  const createdAt = clock.now();
  let known: readonly Departure[] = [];
  let revision = 0;
  let isLoaded = false;
  /** The era has risen since the stored record was last read. */
  let isOutdated = false;
  let storedValue: string | undefined;
  let writing: Promise<boolean> | undefined;
  let isWriteNeeded = false;
  let wake: () => void = () => undefined;

  const encode = () => JSON.stringify(known);

  const merge = (others: readonly Departure[]) => {
    const added = others.filter((other) => !known.some((departure) => isSame(departure, other)));
    known = [...added, ...known].slice(-MAX_DEPARTURES);
  };

  const load = async (): Promise<boolean> => {
    const wasOutdated = isOutdated;
    isOutdated = false;
    const found = await store.get(key);
    if (found.isErr() || isOutdated) {
      isOutdated ||= wasOutdated;
      return false;
    }
    revision = found.value?.revision ?? 0;
    storedValue = found.value?.value;
    const stored = storedValue === undefined ? [] : decodeDepartures(storedValue);
    if (stored === undefined) logger.warn({ key, revision }, 'replaced a record of another form');
    merge(stored ?? []);
    if (!isLoaded) logger.info({ revision, departures: known.length }, 'loaded the departures');
    isLoaded = true;
    return true;
  };

  /** Makes one attempt to store what is known. */
  const write = async (): Promise<boolean> => {
    const isRewrite = isOutdated;
    if ((!isLoaded || isOutdated) && !await load()) return false;
    const value = encode();
    if (value === storedValue) return true;
    const lease = await store.grantLease(RETENTION_MS);
    if (lease.isErr()) return false;
    const result = await store.transact({
      expect: [{ key, revision }], puts: [{ key, value, lease: lease.value }],
    });
    if (result.isOk()) {
      revision = result.value;
      storedValue = value;
      if (isRewrite) {
        logger.info({ revision, departures: known.length }, 'stored the departures again');
        options.onRewrite?.();
      }
      return true;
    }
    logger.warn({ key, reason: result.error.message }, 'failed to store a departure');
    // An earlier write may have taken effect late.
    return await load() && storedValue === encode();
  };

  /** Stores all that is known now; concurrent departures share a write. */
  const flush = async (): Promise<boolean> => {
    isWriteNeeded = true;
    while (writing !== undefined) await writing;
    if (!isWriteNeeded) return true;
    writing = write();
    const isStored = await writing;
    writing = undefined;
    isWriteNeeded = !isStored || storedValue !== encode();
    return isStored;
  };

  const add: DepartureLog['add'] = async (departure) => {
    if (known.some((other) => isSame(other, departure))) return !isWriteNeeded;
    known = [...known, departure].slice(-MAX_DEPARTURES);
    const limit = new AbortController();
    const isStored = await Promise.race([
      flush(), clock.sleep(CONFIRM_LIMIT_MS, limit.signal).then(() => false),
    ]);
    limit.abort();
    wake();
    logger.info({ ...departure, stored: isStored }, 'recorded a departure');
    return isStored;
  };

  options.eras?.onRise(() => {
    isOutdated = true;
    storedValue = undefined;
    isWriteNeeded ||= known.length > 0;
    wake();
  });

  const run = async (signal: AbortSignal) => {
    while (!signal.aborted) {
      if (!isLoaded) await load();
      else if (isWriteNeeded) await flush();
      const waking = new AbortController();
      wake = () => waking.abort();
      const isIdle = isLoaded && !isWriteNeeded;
      const wakeOrStop = AbortSignal.any([signal, waking.signal]);
      await clock.sleep(isIdle ? IDLE_INTERVAL_MS : RETRY_INTERVAL_MS, wakeOrStop);
    }
  };

  return {
    add,
    departures: () => known,
    isSettled: () => isLoaded || clock.now() - createdAt > SETTLE_LIMIT_MS,
    run,
  };
};

import { err, ok, type Result } from 'neverthrow';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import { StepError, StoreError } from '../errors/mod.ts';
import type { Relay } from '../relay/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  type CachedRecord, createRecordCache, KEY_PREFIX, keyOf,
} from './_record_cache.ts';
import { decodeRecord } from './decode_record.ts';
import { encodeRecord } from './encode_record.ts';
import type { PlacementRecord } from './placement_record.ts';
import type { PlacementChange, Placements } from './placements.ts';

const STEP = 'placement.update';
const MAX_ATTEMPTS = 8;
const FIRST_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 500;

/** Dependencies of the placement records of a node. */
export interface PlacementsOptions {
  readonly store: Store;
  readonly relay: Relay;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Random source for the backoff jitter. Each node needs a well-mixed seed: small consecutive
   * seeds produce nearly the same first numbers.
   */
  readonly random: RandomGenerator;
  /** Returns an identifier that is unique among all writes of the fleet. */
  readonly createWriterId: () => string;
}

/** Placement records that are updated by the relay until `stop` is called. */
export interface RunningPlacements extends Placements {
  /** Stops listening to the relay. */
  readonly stop: () => void;
}

/** Tracks the writes of one update and whether the outcome of one of them is unknown. */
const createWriteTracker = () => {
  const writers = new Set<string>();
  let pendingRevision: number | undefined;
  return {
    addWriter: (writer: string) => writers.add(writer),
    hasWriter: (writer: string) => writers.has(writer),
    recordLostReply: (expectedRevision: number) => {
      pendingRevision = expectedRevision;
    },
    /** Clears the pending write once the revision has changed, as its comparison then fails. */
    observeRevision: (revision: number) => {
      if (revision !== pendingRevision) pendingRevision = undefined;
    },
    isOutcomeUnknown: () => pendingRevision !== undefined,
  };
};

type WriteTracker = ReturnType<typeof createWriteTracker>;

type UpdateResult = Result<PlacementRecord | undefined, StepError>;

const isPermanent = (error: StepError) => (
  !(error instanceof StoreError) || error.kind === 'too-large'
);

/**
 * Creates the placement records of a node. Records are stored under `placement/<service>`, written
 * by compare-and-swap, and distributed by the relay. Updates of the same service on one node run
 * sequentially.
 *
 * @param options Store, relay, clock, logger, random source and writer identifiers.
 * @returns The placement records. `update` resolves to the record that is current afterwards. After
 * 8 failed attempts it returns a `StoreError`, of kind `unknown` if a write may still take effect.
 *
 * @example
 * const placements = createPlacements({
 *   store, relay, clock, logger, random: xoroshiro128plus(seed), createWriterId: randomUUID,
 * });
 * await placements.update('ledger', (record) => record && beginTakeover(record, 'host-1#a'));
 */
export const createPlacements = (options: PlacementsOptions): RunningPlacements => {
  const { store, relay, clock } = options;
  const cache = createRecordCache(options.logger);
  const updateQueues = new Map<string, Promise<unknown>>();

  const toCachedRecord = (entry: StoreEntry): Result<CachedRecord, StepError> => {
    const cached = cache.find(entry.key.slice(KEY_PREFIX.length));
    if (cached?.revision === entry.revision) return ok(cached);
    return decodeRecord(entry.value, entry.key)
      .map((record) => ({ record, revision: entry.revision }));
  };

  const read = async (key: string): Promise<Result<CachedRecord | undefined, StepError>> => {
    const entry = await store.get(key);
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return ok(undefined);
    const found = toCachedRecord(entry.value);
    if (found.isErr()) return err(found.error);
    cache.accept(found.value);
    relay.publish(entry.value);
    return ok(found.value);
  };

  const write = async (
    record: PlacementRecord,
    base: CachedRecord | undefined,
    writeTracker: WriteTracker,
  ): Promise<UpdateResult> => {
    const key = keyOf(record.service);
    const expectedRevision = base?.revision ?? 0;
    const recordToWrite = { ...record, writer: options.createWriterId() };
    writeTracker.addWriter(recordToWrite.writer);
    const value = encodeRecord(recordToWrite);
    const written = await store.compareAndSwap(key, expectedRevision, value);
    if (written.isErr()) {
      if (written.error.kind === 'unknown') writeTracker.recordLostReply(expectedRevision);
      return err(written.error);
    }
    cache.accept({ record: recordToWrite, revision: written.value });
    relay.publish({ key, revision: written.value, value });
    return ok(recordToWrite);
  };

  /**
   * Applies the change to the cached record, without a read from the store. Resolves to `undefined`
   * when there is no cached record, it needs no change, or it is out of date.
   */
  const attemptFromCache = async (
    service: string,
    change: PlacementChange,
    writeTracker: WriteTracker,
  ): Promise<UpdateResult | undefined> => {
    const cached = cache.find(service);
    const changed = cached && change(cached.record);
    if (!cached || !changed || changed.version <= cached.record.version) return undefined;
    const outcome = await write(changed, cached, writeTracker);
    if (outcome.isErr() && outcome.error instanceof StoreError) {
      return outcome.error.kind === 'conflict' ? undefined : outcome;
    }
    return outcome;
  };

  const attemptFromStore = async (
    service: string,
    change: PlacementChange,
    writeTracker: WriteTracker,
  ): Promise<UpdateResult> => {
    const found = await read(keyOf(service));
    if (found.isErr()) return err(found.error);
    const base = found.value;
    const revision = base?.revision ?? 0;
    writeTracker.observeRevision(revision);
    if (base !== undefined && writeTracker.hasWriter(base.record.writer)) return ok(base.record);
    const cached = cache.find(service);
    const version = base?.record.version ?? 0;
    if (cached !== undefined && (revision < cached.revision || version < cached.record.version)) {
      const reason = `the store returned version ${version} after ${cached.record.version}`;
      return err(new StoreError('unavailable', reason, { step: STEP, peer: service }));
    }
    const changed = change(base?.record);
    if (changed === undefined) return ok(base?.record);
    if (changed.service !== service || changed.version <= version) {
      const reason = `the change made version ${changed.version} of ${changed.service}`;
      return err(new StepError(reason, { step: STEP, peer: service }));
    }
    return write(changed, base, writeTracker);
  };

  const backOff = (retry: number) => {
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** retry);
    return clock.sleep(uniformInt(options.random, Math.ceil(maxDelayMs / 2), maxDelayMs));
  };

  const updateWithRetries = async (
    service: string,
    change: PlacementChange,
  ): Promise<UpdateResult> => {
    const writeTracker = createWriteTracker();
    // A read before each write would cost a second round trip and make conflicts more likely.
    let outcome = await attemptFromCache(service, change, writeTracker)
      ?? await attemptFromStore(service, change, writeTracker);
    for (let retry = 1; retry < MAX_ATTEMPTS; retry += 1) {
      if (outcome.isOk() || isPermanent(outcome.error)) break;
      await backOff(retry);
      outcome = await attemptFromStore(service, change, writeTracker);
    }
    if (outcome.isOk() || !writeTracker.isOutcomeUnknown()) return outcome;
    const { error } = outcome;
    const settings = { step: STEP, peer: service, cause: error };
    return err(
      new StoreError('unknown', `a write may take effect: ${error.reason}`, settings),
    );
  };

  for (const entry of relay.list(KEY_PREFIX)) cache.acceptEntry(entry);
  const removeListener = relay.onChange(KEY_PREFIX, cache.acceptEntry);

  return {
    current: (service) => cache.find(service)?.record,
    services: cache.services,
    onChange: cache.onChange,
    update: (service, change) => {
      const before = updateQueues.get(service) ?? Promise.resolve();
      const outcome = before.then(() => updateWithRetries(service, change));
      // A change that throws rejects only its own update and does not block later ones.
      const completion = outcome.catch(() => undefined).then(() => {
        if (updateQueues.get(service) === completion) updateQueues.delete(service);
      });
      updateQueues.set(service, completion);
      return outcome;
    },
    stop: removeListener,
  };
};

import { err, ok, type Result } from 'neverthrow';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import { StepError, StoreError } from '../errors/mod.ts';
import type { Relay } from '../relay/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  type AcceptedRecord, createAcceptedRecords, KEY_PREFIX, keyOf,
} from './_accepted_records.ts';
import { decodeRecord } from './decode_record.ts';
import { encodeRecord } from './encode_record.ts';
import type { PlacementRecord } from './placement_record.ts';
import type { PlacementChange, Placements } from './placements.ts';

const STEP = 'placement.update';
const MAX_ATTEMPTS = 8;
const FIRST_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 500;

/** What the placement records of a node are built from. */
export interface PlacementsOptions {
  readonly store: Store;
  readonly relay: Relay;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Source of the backoff's jitter. Nodes need well-mixed seeds: neighbouring small seeds give
   * nearly the same first numbers.
   */
  readonly random: RandomGenerator;
  /** Returns a new identifier that no other write of the fleet has. */
  readonly createWriterId: () => string;
}

/** The placement records of a node, which listen to the relay until they are stopped. */
export interface RunningPlacements extends Placements {
  readonly stop: () => void;
}

/** The writes of one update whose outcome may still be open. */
const createAttempts = () => {
  const writers = new Set<string>();
  let unsettledRevision: number | undefined;
  return {
    addWriter: (writer: string) => writers.add(writer),
    hasWriter: (writer: string) => writers.has(writer),
    loseReply: (expectedRevision: number) => {
      unsettledRevision = expectedRevision;
    },
    /** Only a write that expects the revision still in force can take effect later. */
    seeRevision: (revision: number) => {
      if (revision !== unsettledRevision) unsettledRevision = undefined;
    },
    isUnsettled: () => unsettledRevision !== undefined,
  };
};

type Attempts = ReturnType<typeof createAttempts>;

type Outcome = Result<PlacementRecord | undefined, StepError>;

const isFinal = (error: StepError) => !(error instanceof StoreError) || error.kind === 'too-large';

/**
 * Creates the placement records of a node. They are kept in the store under `placement/<service>`,
 * written by compare-and-swap, and spread by the relay. Updates of one service on one node run one
 * after the other.
 *
 * @param options Store, relay, clock, logger, random source and writer identifiers.
 * @returns The records. `update` resolves to the record that is in force afterwards; it fails with
 * a `StoreError` after 8 attempts, of kind `unknown` when a write may still take effect.
 *
 * @example
 * const placements = createPlacements({
 *   store, relay, clock, logger, random: xoroshiro128plus(seed), createWriterId: randomUUID,
 * });
 * await placements.update('ledger', (record) => record && beginTakeover(record, 'host-1#a'));
 */
export const createPlacements = (options: PlacementsOptions): RunningPlacements => {
  const { store, relay, clock } = options;
  const records = createAcceptedRecords(options.logger);
  const queues = new Map<string, Promise<unknown>>();

  const toAccepted = (entry: StoreEntry): Result<AcceptedRecord, StepError> => {
    const known = records.find(entry.key.slice(KEY_PREFIX.length));
    if (known?.revision === entry.revision) return ok(known);
    return decodeRecord(entry.value, entry.key)
      .map((record) => ({ record, revision: entry.revision }));
  };

  const read = async (key: string): Promise<Result<AcceptedRecord | undefined, StepError>> => {
    const entry = await store.get(key);
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return ok(undefined);
    const found = toAccepted(entry.value);
    if (found.isErr()) return err(found.error);
    records.accept(found.value);
    relay.publish(entry.value);
    return ok(found.value);
  };

  const write = async (
    record: PlacementRecord,
    base: AcceptedRecord | undefined,
    attempts: Attempts,
  ): Promise<Outcome> => {
    const key = keyOf(record.service);
    const expectedRevision = base?.revision ?? 0;
    const stamped = { ...record, writer: options.createWriterId() };
    attempts.addWriter(stamped.writer);
    const value = encodeRecord(stamped);
    const written = await store.compareAndSwap(key, expectedRevision, value);
    if (written.isErr()) {
      if (written.error.kind === 'unknown') attempts.loseReply(expectedRevision);
      return err(written.error);
    }
    records.accept({ record: stamped, revision: written.value });
    relay.publish({ key, revision: written.value, value });
    return ok(stamped);
  };

  /**
   * Writes over the record known here, without a read. `undefined`: there is no such record, it
   * asks for no change, or it is out of date.
   */
  const attemptOnKnown = async (
    service: string,
    change: PlacementChange,
    attempts: Attempts,
  ): Promise<Outcome | undefined> => {
    const known = records.find(service);
    const changed = known && change(known.record);
    if (!known || !changed || changed.version <= known.record.version) return undefined;
    const outcome = await write(changed, known, attempts);
    if (outcome.isErr() && outcome.error instanceof StoreError) {
      return outcome.error.kind === 'conflict' ? undefined : outcome;
    }
    return outcome;
  };

  const attempt = async (
    service: string,
    change: PlacementChange,
    attempts: Attempts,
  ): Promise<Outcome> => {
    const found = await read(keyOf(service));
    if (found.isErr()) return err(found.error);
    const base = found.value;
    const revision = base?.revision ?? 0;
    attempts.seeRevision(revision);
    if (base !== undefined && attempts.hasWriter(base.record.writer)) return ok(base.record);
    const known = records.find(service);
    const version = base?.record.version ?? 0;
    if (known !== undefined && (revision < known.revision || version < known.record.version)) {
      const reason = `the store returned version ${version} after ${known.record.version}`;
      return err(new StoreError('unavailable', reason, { step: STEP, peer: service }));
    }
    const changed = change(base?.record);
    if (changed === undefined) return ok(base?.record);
    if (changed.service !== service || changed.version <= version) {
      const reason = `the change made version ${changed.version} of ${changed.service}`;
      return err(new StepError(reason, { step: STEP, peer: service }));
    }
    return write(changed, base, attempts);
  };

  const backOff = (number: number) => {
    const longestMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** number);
    return clock.sleep(uniformInt(options.random, Math.ceil(longestMs / 2), longestMs));
  };

  const run = async (service: string, change: PlacementChange): Promise<Outcome> => {
    const attempts = createAttempts();
    // A read before each write would take a second call and leave time for other writers.
    let outcome = await attemptOnKnown(service, change, attempts)
      ?? await attempt(service, change, attempts);
    for (let number = 1; number < MAX_ATTEMPTS; number += 1) {
      if (outcome.isOk() || isFinal(outcome.error)) break;
      await backOff(number);
      outcome = await attempt(service, change, attempts);
    }
    if (outcome.isOk() || !attempts.isUnsettled()) return outcome;
    const { error } = outcome;
    const settings = { step: STEP, peer: service, cause: error };
    return err(new StoreError('unknown', `a write may take effect: ${error.reason}`, settings));
  };

  for (const entry of relay.list(KEY_PREFIX)) records.acceptEntry(entry);
  const removeListener = relay.onChange(KEY_PREFIX, records.acceptEntry);

  return {
    current: (service) => records.find(service)?.record,
    services: records.services,
    onChange: records.onChange,
    update: (service, change) => {
      const before = queues.get(service) ?? Promise.resolve();
      const outcome = before.then(() => run(service, change));
      // A change that throws fails its own update only.
      const settled = outcome.catch(() => undefined).then(() => {
        if (queues.get(service) === settled) queues.delete(service);
      });
      queues.set(service, settled);
      return outcome;
    },
    stop: removeListener,
  };
};

import { completeMoves, type PlacementRecord } from '../placement/mod.ts';
import { metricNames } from '../telemetry/mod.ts';
import type { InFlightRequests } from './_in_flight_requests.ts';
import type { OwnerContext } from './_owner_context.ts';
import {
  recordIndexOf, splitUnits, type PlacementUnit, unitsOwnedBy, type PlacementUnitState,
} from './_record_index.ts';
import { backoffMs, IDLE_DELAY_MS, startTask } from './_task.ts';

interface PlannedMovesOptions extends OwnerContext {
  readonly inFlight: InFlightRequests;
  readonly slotOfKey: (key: string, slotCount: number) => number;
  readonly mayHoldGrant: (unit: PlacementUnit) => boolean;
  readonly revoke: (units: readonly PlacementUnitState[]) => Promise<boolean>;
}

const MOVE_BATCH_DELAY_MS = 20;
const MOVE_RECHECK_INTERVAL_MS = 1_000;
const MOVE_BACKOFF = { initialMs: 100, maxMs: 2_000 };

/** Completes the planned moves away from one owner once the in-flight requests have ended. */
export const createPlannedMoves = (options: PlannedMovesOptions) => {
  const {
    clock, placements, service, ownerId, inFlight, logger,
  } = options;
  /** Version of the record to which the last attempt to complete a move was applied. */
  const attemptedVersions = new Map<PlacementUnit, number>();
  let hasMoves = false;
  let failures = 0;

  const isDrained = (record: PlacementRecord, unit: PlacementUnit) => (
    typeof unit === 'number'
      ? inFlight.isSlotIdle(unit, recordIndexOf(record).hotKeys)
      : !inFlight.hasKey(options.slotOfKey(unit, record.slotCount), unit)
  );

  const readyUnits = (record: PlacementRecord | undefined) => (
    unitsOwnedBy(record, ownerId).filter(({ unit, state }) => (
      record !== undefined
      && state.movingTo !== undefined
      && options.havePredecessorsEnded(state)
      && isDrained(record, unit)
    ))
  );

  /**
   * True while an attempted move may have taken effect in the store, in a newer record than the one
   * known here, such as after a lost reply.
   */
  const mayHaveMoved = (record: PlacementRecord, unit: PlacementUnit): boolean => {
    const version = attemptedVersions.get(unit);
    if (version === undefined) return false;
    if (record.version <= version) return true;
    attemptedVersions.delete(unit);
    return false;
  };

  const completeReadyMoves = async (units: ReadonlySet<PlacementUnit>): Promise<boolean> => {
    let count = 0;
    const outcome = await placements.update(service, (record) => {
      // The stored record may be newer than the known one, under which new requests still start;
      // check against it whether the units are drained.
      const ready = readyUnits(record)
        .map(({ unit }) => unit)
        .filter((unit) => units.has(unit) && !options.mayHoldGrant(unit));
      count = ready.length;
      if (!record || count === 0) return undefined;
      for (const unit of ready) attemptedVersions.set(unit, record.version);
      const { slots, hotKeys } = splitUnits(ready);
      return completeMoves(record, ownerId, slots, hotKeys);
    });
    if (outcome.isErr()) {
      const reason = outcome.error.message;
      logger.warn({ service, owner: ownerId, reason }, 'could not complete planned moves');
      return false;
    }
    if (count === 0) return true;
    for (let moved = 0; moved < count; moved += 1) {
      options.metrics.increment(metricNames.movedSlots, { service });
    }
    logger.info({ service, owner: ownerId, units: count }, 'completed planned moves');
    return true;
  };

  const task = startTask(clock, async () => {
    const record = placements.current(service);
    hasMoves = unitsOwnedBy(record, ownerId).some(({ state }) => state.movingTo !== undefined);
    if (!hasMoves) return IDLE_DELAY_MS;
    if (readyUnits(record).length === 0) return MOVE_RECHECK_INTERVAL_MS;
    await clock.sleep(MOVE_BATCH_DELAY_MS);
    const ready = readyUnits(placements.current(service));
    const isDone = await options.revoke(ready)
      && await completeReadyMoves(new Set(ready.map(({ unit }) => unit)));
    failures = isDone ? 0 : failures + 1;
    return isDone ? MOVE_RECHECK_INTERVAL_MS : backoffMs(failures, options.random, MOVE_BACKOFF);
  });

  inFlight.onEnd(() => {
    if (hasMoves) task.wake();
  });

  return {
    mayHaveMoved,
    wake: task.wake,
    stop: task.stop,
  };
};

import { completeMoves, type PlacementRecord } from '../placement/mod.ts';
import { metricNames } from '../telemetry/mod.ts';
import type { InFlight } from './_in_flight.ts';
import type { OwnerContext } from './_owner_context.ts';
import {
  indexOf, splitUnits, type Unit, unitsOf, type UnitState,
} from './_record_index.ts';
import { backoffMs, IDLE_MS, startTask } from './_task.ts';

interface PlannedMovesOptions extends OwnerContext {
  readonly inFlight: InFlight;
  readonly slotOfKey: (key: string, slotCount: number) => number;
  readonly hasGrant: (unit: Unit) => boolean;
  readonly revoke: (units: readonly UnitState[]) => Promise<boolean>;
}

const MOVE_BATCH_MS = 20;
const MOVE_RECHECK_MS = 1_000;
const MOVE_BACKOFF = { firstMs: 100, limitMs: 2_000 };

/** Hands the moving slots and hot keys of one owner over once their requests have ended. */
export const createPlannedMoves = (options: PlannedMovesOptions) => {
  const {
    clock, placements, service, ownerId, inFlight, logger,
  } = options;
  /** Version of the record on which a hand-over was attempted. */
  const handedOverAt = new Map<Unit, number>();
  let isMoving = false;
  let failures = 0;

  const isDrained = (record: PlacementRecord, unit: Unit) => (
    typeof unit === 'number'
      ? inFlight.isSlotIdle(unit, indexOf(record).hotKeys)
      : !inFlight.hasKey(options.slotOfKey(unit, record.slotCount), unit)
  );

  const readyUnits = (record: PlacementRecord | undefined) => (
    unitsOf(record, ownerId).filter(({ unit, state }) => (
      record !== undefined
      && state.movingTo !== undefined
      && options.isSettled(state)
      && isDrained(record, unit)
    ))
  );

  /**
   * True while a hand-over that was attempted may have taken effect in a record that is not known
   * here yet.
   */
  const isHandingOver = (record: PlacementRecord, unit: Unit): boolean => {
    const version = handedOverAt.get(unit);
    if (version === undefined) return false;
    if (record.version <= version) return true;
    handedOverAt.delete(unit);
    return false;
  };

  const handOver = async (units: ReadonlySet<Unit>): Promise<boolean> => {
    let count = 0;
    const outcome = await placements.update(service, (record) => {
      // The record read here may be newer than the known one, under which requests still enter.
      const ready = readyUnits(record)
        .map(({ unit }) => unit)
        .filter((unit) => units.has(unit) && !options.hasGrant(unit));
      count = ready.length;
      if (!record || count === 0) return undefined;
      for (const unit of ready) handedOverAt.set(unit, record.version);
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
    isMoving = unitsOf(record, ownerId).some(({ state }) => state.movingTo !== undefined);
    if (!isMoving) return IDLE_MS;
    if (readyUnits(record).length === 0) return MOVE_RECHECK_MS;
    await clock.sleep(MOVE_BATCH_MS);
    const ready = readyUnits(placements.current(service));
    const isDone = await options.revoke(ready)
      && await handOver(new Set(ready.map(({ unit }) => unit)));
    failures = isDone ? 0 : failures + 1;
    return isDone ? MOVE_RECHECK_MS : backoffMs(failures, options.random, MOVE_BACKOFF);
  });

  inFlight.onEnd(() => {
    if (isMoving) task.wake();
  });

  return {
    isHandingOver,
    wake: task.wake,
    stop: task.stop,
  };
};

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { clearPredecessors, type OwnerId } from '../placement/mod.ts';
import type { OwnerContext } from './_owner_context.ts';
import { unitsOf } from './_record_index.ts';
import { backoffMs, IDLE_MS, startTask } from './_task.ts';

const CLEANUP_BATCH_MS = 250;
const CLEANUP_BACKOFF = { firstMs: 200, limitMs: 5_000 };

/** Takes cleared predecessors out of the record, in batches and after serving has begun. */
export const createPredecessorCleanup = (options: OwnerContext) => {
  const {
    clock, placements, service, ownerId, random, logger,
  } = options;
  let failures = 0;

  const clearedNow = (): readonly OwnerId[] => {
    const units = unitsOf(placements.current(service), ownerId);
    const listed = new Set(units.flatMap(({ state }) => state.predecessors));
    return [...listed].filter(options.isCleared);
  };

  const task = startTask(clock, async () => {
    if (clearedNow().length === 0) return IDLE_MS;
    await clock.sleep(uniformInt(random, CLEANUP_BATCH_MS, 2 * CLEANUP_BATCH_MS));
    const predecessors = clearedNow();
    const outcome = await placements.update(service, (record) => (
      record ? clearPredecessors(record, ownerId, predecessors) : undefined
    ));
    failures = outcome.isOk() ? 0 : failures + 1;
    if (outcome.isErr()) return backoffMs(failures, random, CLEANUP_BACKOFF);
    logger.info({ service, owner: ownerId, predecessors }, 'cleared predecessors in the record');
    return IDLE_MS;
  });

  return { wake: task.wake, stop: task.stop };
};

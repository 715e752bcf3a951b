import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { clearPredecessors, type OwnerId } from '../placement/mod.ts';
import type { OwnerContext } from './_owner_context.ts';
import { unitsOwnedBy } from './_record_index.ts';
import { backoffMs, IDLE_DELAY_MS, startTask } from './_task.ts';

const CLEANUP_BATCH_DELAY_MS = 250;
const CLEANUP_BACKOFF = { initialMs: 200, maxMs: 5_000 };

/**
 * Removes predecessors whose leases have ended from the placement record, in batches. Serving does
 * not wait for it.
 */
export const createPredecessorCleanup = (options: OwnerContext) => {
  const {
    clock, placements, service, ownerId, random, logger,
  } = options;
  let failures = 0;

  const endedPredecessors = (): readonly OwnerId[] => {
    const units = unitsOwnedBy(placements.current(service), ownerId);
    const listed = new Set(units.flatMap(({ state }) => state.predecessors));
    return [...listed].filter(options.hasLeaseEnded);
  };

  const task = startTask(clock, async () => {
    if (endedPredecessors().length === 0) return IDLE_DELAY_MS;
    await clock.sleep(uniformInt(random, CLEANUP_BATCH_DELAY_MS, 2 * CLEANUP_BATCH_DELAY_MS));
    const predecessors = endedPredecessors();
    const outcome = await placements.update(service, (record) => (
      record ? clearPredecessors(record, ownerId, predecessors) : undefined
    ));
    failures = outcome.isOk() ? 0 : failures + 1;
    if (outcome.isErr()) return backoffMs(failures, random, CLEANUP_BACKOFF);
    logger.info({ service, owner: ownerId, predecessors }, 'removed predecessors from the record');
    return IDLE_DELAY_MS;
  });

  return { wake: task.wake, stop: task.stop };
};

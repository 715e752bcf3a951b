import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { OwnerId, PlacementRecord, Placements } from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { findOwner } from './_record_index.ts';
import {
  backoffMs, IDLE_DELAY_MS, startTask, type Task,
} from './_task.ts';

interface ReleaseOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly service: string;
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  readonly logger: Logger;
}

const RELEASE_TIMEOUT_MS = 500;
const RELEASE_BACKOFF = { initialMs: 100, maxMs: 2_000 };

/** Owners that list `predecessor` as a former owner whose lease may not have ended yet. */
const successorsOf = (record: PlacementRecord, predecessor: OwnerId): ReadonlySet<OwnerId> => {
  const successors = new Set<OwnerId>();
  const states = [...record.slots, ...record.hotKeys.map(({ state }) => state)];
  for (const { owner, predecessors } of states) {
    if (owner !== undefined && predecessors.includes(predecessor)) successors.add(owner);
  }
  return successors;
};

/**
 * Notifies the new owners that a removed owner has ended its last request and never serves again,
 * so that they need not wait for its lease to expire. Retries until each new owner has replied or
 * the record no longer lists the removed owner as a predecessor.
 */
export const startRelease = (options: ReleaseOptions): Task => {
  const {
    clock, transport, placements, service, ownerId,
  } = options;
  const notified = new Set<OwnerId>();
  let attempt = 0;
  let hasSuccessors = true;

  const notify = async (record: PlacementRecord, successor: OwnerId) => {
    const address = findOwner(record, successor)?.controlAddress;
    if (address === undefined) return;
    const outcome = await transport.request(address, {
      $case: 'release', value: { service, owner: ownerId, version: record.version },
    }, { timeoutMs: RELEASE_TIMEOUT_MS });
    if (outcome.isOk() && outcome.value.$case === 'released') notified.add(successor);
  };

  const step = async () => {
    const record = placements.current(service);
    const successors = record ? successorsOf(record, ownerId) : new Set<OwnerId>();
    hasSuccessors = successors.size > 0;
    if (!record || !hasSuccessors) return IDLE_DELAY_MS;
    const unnotified = [...successors].filter((successor) => !notified.has(successor));
    if (unnotified.length === 0) return IDLE_DELAY_MS;
    await Promise.all(unnotified.map((successor) => notify(record, successor)));
    options.logger.info(
      { service, owner: ownerId, successors: unnotified },
      'sent release messages to the new owners',
    );
    attempt += 1;
    return backoffMs(attempt, options.random, RELEASE_BACKOFF);
  };

  const task = startTask(clock, step);
  const stopListening = placements.onChange((record) => {
    if (record.service === service && hasSuccessors) task.wake();
  });
  return {
    ...task,
    stop: () => {
      stopListening();
      task.stop();
    },
  };
};

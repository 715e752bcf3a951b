import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { OwnerId, PlacementRecord, Placements } from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { findOwner } from './_record_index.ts';
import {
  backoffMs, IDLE_MS, startTask, type Task,
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
const RELEASE_BACKOFF = { firstMs: 100, limitMs: 2_000 };

/** Owners that still have to clear `predecessor`. */
const successorsOf = (record: PlacementRecord, predecessor: OwnerId): ReadonlySet<OwnerId> => {
  const successors = new Set<OwnerId>();
  const states = [...record.slots, ...record.hotKeys.map(({ state }) => state)];
  for (const { owner, predecessors } of states) {
    if (owner !== undefined && predecessors.includes(predecessor)) successors.add(owner);
  }
  return successors;
};

/**
 * Tells the new owners that a removed owner has ended its last request and never serves again.
 * Repeats until each has answered or the record no longer lists the owner as a predecessor.
 */
export const startRelease = (options: ReleaseOptions): Task => {
  const {
    clock, transport, placements, service, ownerId,
  } = options;
  const informed = new Set<OwnerId>();
  let attempt = 0;
  let isListed = true;

  const inform = async (record: PlacementRecord, successor: OwnerId) => {
    const address = findOwner(record, successor)?.controlAddress;
    if (address === undefined) return;
    const outcome = await transport.request(address, {
      $case: 'release', value: { service, owner: ownerId, version: record.version },
    }, { timeoutMs: RELEASE_TIMEOUT_MS });
    if (outcome.isOk() && outcome.value.$case === 'released') informed.add(successor);
  };

  const step = async () => {
    const record = placements.current(service);
    const successors = record ? successorsOf(record, ownerId) : new Set<OwnerId>();
    isListed = successors.size > 0;
    if (!record || !isListed) return IDLE_MS;
    const uninformed = [...successors].filter((successor) => !informed.has(successor));
    if (uninformed.length === 0) return IDLE_MS;
    await Promise.all(uninformed.map((successor) => inform(record, successor)));
    options.logger.info(
      { service, owner: ownerId, successors: uninformed },
      'released its slots to the new owners',
    );
    attempt += 1;
    return backoffMs(attempt, options.random, RELEASE_BACKOFF);
  };

  const task = startTask(clock, step);
  const stopListening = placements.onChange((record) => {
    if (record.service === service && isListed) task.wake();
  });
  return {
    ...task,
    stop: () => {
      stopListening();
      task.stop();
    },
  };
};

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, Placements, WitnessReference,
} from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  allWitnesses, earliestMajorityTime, nodeOf, witnessSets,
} from './_quorum.ts';
import { findOwner, recordIndexOf } from './_record_index.ts';
import { backoffMs, startTask, type Task } from './_task.ts';
import { CLOCK_DRIFT_MARGIN_MS, LEASE_DURATION_MS } from './timing.ts';

interface PredecessorFencingOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly random: RandomGenerator;
  readonly logger: Logger;
}

interface PendingFencing {
  readonly task: Task;
  readonly onLeaseEnded: Set<() => void>;
}

const FENCE_TIMEOUT_MS = 200;
const FENCE_BACKOFF = { initialMs: 50, maxMs: 1_000 };

/**
 * Fences removed owners at their witnesses, so that their leases are never renewed, and waits until
 * each lease has expired or its owner has sent a `release` message.
 */
export const createPredecessorFencing = (options: PredecessorFencingOptions) => {
  const {
    clock, transport, placements, random, logger,
  } = options;
  const endedLeases = new Set<string>();
  const pendingFencings = new Map<string, PendingFencing>();

  const keyOf = (service: string, owner: OwnerId) => `${service} ${owner}`;

  const markLeaseEnded = (service: string, owner: OwnerId, reason: string) => {
    const key = keyOf(service, owner);
    if (endedLeases.has(key)) return;
    endedLeases.add(key);
    logger.info({ service, owner }, `lease of a former owner has ended: ${reason}`);
    const fencing = pendingFencings.get(key);
    pendingFencings.delete(key);
    fencing?.task.stop();
    for (const notify of fencing?.onLeaseEnded ?? []) notify();
  };

  /**
   * Fences the owner at one witness.
   *
   * @returns The time in ms by which the last renewal of the witness has expired, allowing for
   * different clock rates; `undefined` when the witness did not accept.
   */
  const fenceAtWitness = async (
    record: PlacementRecord,
    owner: OwnerId,
    { id, controlAddress }: WitnessReference,
  ): Promise<number | undefined> => {
    const { service, version } = record;
    const outcome = await transport.request(controlAddress, {
      $case: 'fence',
      value: {
        service, owner, witness: id, version,
      },
    }, { timeoutMs: FENCE_TIMEOUT_MS });
    if (outcome.isErr() || outcome.value.$case !== 'fenced') return undefined;
    const { accepted, lastRenewalAgeMs } = outcome.value.value;
    // The witness measured the age before it replied, so the renewal is at least that old by now.
    const renewedMs = clock.now() - lastRenewalAgeMs;
    return accepted ? renewedMs + LEASE_DURATION_MS + CLOCK_DRIFT_MARGIN_MS : undefined;
  };

  /** Resolves when a majority of each set has accepted, or when all requests have ended. */
  const fenceAtAll = (
    record: PlacementRecord,
    owner: Owner,
    leaseEndsMs: Map<OwnerId, number>,
  ): Promise<void> => new Promise((resolve) => {
    const unanswered = allWitnesses(owner).filter(({ id }) => !leaseEndsMs.has(id));
    const call = async (reference: WitnessReference) => {
      const leaseEndMs = await fenceAtWitness(record, owner.id, reference);
      if (leaseEndMs !== undefined) leaseEndsMs.set(reference.id, leaseEndMs);
      const timeOf = (id: OwnerId) => leaseEndsMs.get(id) ?? Infinity;
      if (earliestMajorityTime(witnessSets(owner), timeOf) < Infinity) resolve();
    };
    Promise.all(unanswered.map(call)).then(() => resolve());
  });

  const startFencing = (service: string, ownerId: OwnerId): Task => {
    const leaseEndsMs = new Map<OwnerId, number>();
    let attempt = 0;

    const remainingLeaseMs = (owner: Owner) => {
      const leaseEndMs = earliestMajorityTime(
        witnessSets(owner),
        (id) => leaseEndsMs.get(id) ?? Infinity,
      );
      return leaseEndMs - clock.now();
    };

    return startTask(clock, async () => {
      const record = placements.current(service);
      const owner = findOwner(record, ownerId);
      if (record && owner?.state === 'removed') {
        if (remainingLeaseMs(owner) === Infinity) await fenceAtAll(record, owner, leaseEndsMs);
        const remainingMs = remainingLeaseMs(owner);
        if (remainingMs <= 0) {
          markLeaseEnded(service, ownerId, 'it expired at a majority of the witnesses');
          return 0;
        }
        if (remainingMs < Infinity) return remainingMs;
      }
      attempt += 1;
      logger.debug(
        { service, owner: ownerId, attempt },
        'fence has not been accepted by a majority of the witnesses yet',
      );
      return backoffMs(attempt, random, FENCE_BACKOFF);
    });
  };

  const hasLeaseEnded = (service: string, owner: OwnerId) => endedLeases.has(keyOf(service, owner));

  const ensureLeaseEnded = (service: string, owner: OwnerId, onLeaseEnded: () => void) => {
    const key = keyOf(service, owner);
    if (endedLeases.has(key)) {
      onLeaseEnded();
      return;
    }
    const known = pendingFencings.get(key);
    if (known) {
      known.onLeaseEnded.add(onLeaseEnded);
      return;
    }
    pendingFencings.set(key, {
      task: startFencing(service, owner), onLeaseEnded: new Set([onLeaseEnded]),
    });
  };

  transport.handle('release', ({ service, owner }, sender) => {
    const accepted = sender.node === nodeOf(owner);
    if (accepted) markLeaseEnded(service, owner, 'the owner released its slots');
    return { $case: 'released', value: { accepted } };
  });

  /** Drops the state of owners that the newer record no longer lists. */
  const stopListening = placements.onChange((record, previous) => {
    const { service } = record;
    const { owners } = recordIndexOf(record);
    for (const owner of previous ? recordIndexOf(previous).owners.keys() : []) {
      if (owners.has(owner)) continue;
      const key = keyOf(service, owner);
      pendingFencings.get(key)?.task.stop();
      pendingFencings.delete(key);
      endedLeases.delete(key);
    }
  });

  const stop = () => {
    stopListening();
    for (const { task } of pendingFencings.values()) task.stop();
    pendingFencings.clear();
  };

  return { hasLeaseEnded, ensureLeaseEnded, stop };
};

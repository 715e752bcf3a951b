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
import { findOwner, indexOf } from './_record_index.ts';
import { backoffMs, startTask, type Task } from './_task.ts';
import { CLOCK_DRIFT_MARGIN_MS, LEASE_DURATION_MS } from './timing.ts';

interface PredecessorOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly random: RandomGenerator;
  readonly logger: Logger;
}

interface Clearing {
  readonly task: Task;
  readonly onCleared: Set<() => void>;
}

const FENCE_TIMEOUT_MS = 200;
const FENCE_BACKOFF = { firstMs: 50, limitMs: 1_000 };

/** Clears removed owners: makes sure that their leases have ended and are never renewed. */
export const createPredecessors = (options: PredecessorOptions) => {
  const {
    clock, transport, placements, random, logger,
  } = options;
  const cleared = new Set<string>();
  const clearings = new Map<string, Clearing>();

  const keyOf = (service: string, owner: OwnerId) => `${service} ${owner}`;

  const markCleared = (service: string, owner: OwnerId, reason: string) => {
    const key = keyOf(service, owner);
    if (cleared.has(key)) return;
    cleared.add(key);
    logger.info({ service, owner }, `cleared a predecessor: ${reason}`);
    const clearing = clearings.get(key);
    clearings.delete(key);
    clearing?.task.stop();
    for (const notify of clearing?.onCleared ?? []) notify();
  };

  /** Returns the time at which the witness's last renewal has surely ended, in ms. */
  const fenceAt = async (
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
    // The age was measured before the reply arrived, so the renewal is at least that old now.
    const renewedMs = clock.now() - lastRenewalAgeMs;
    return accepted ? renewedMs + LEASE_DURATION_MS + CLOCK_DRIFT_MARGIN_MS : undefined;
  };

  /** Resolves when a majority of each set has answered, or all calls have ended. */
  const fenceRound = (
    record: PlacementRecord,
    owner: Owner,
    endsMs: Map<OwnerId, number>,
  ): Promise<void> => new Promise((resolve) => {
    const missing = allWitnesses(owner).filter(({ id }) => !endsMs.has(id));
    const call = async (reference: WitnessReference) => {
      const endMs = await fenceAt(record, owner.id, reference);
      if (endMs !== undefined) endsMs.set(reference.id, endMs);
      const timeOf = (id: OwnerId) => endsMs.get(id) ?? Infinity;
      if (earliestMajorityTime(witnessSets(owner), timeOf) < Infinity) resolve();
    };
    Promise.all(missing.map(call)).then(() => resolve());
  });

  const startClearing = (service: string, ownerId: OwnerId): Task => {
    const endsMs = new Map<OwnerId, number>();
    let attempt = 0;

    const waitMs = (owner: Owner) => {
      const endMs = earliestMajorityTime(
        witnessSets(owner),
        (id) => endsMs.get(id) ?? Infinity,
      );
      return endMs - clock.now();
    };

    return startTask(clock, async () => {
      const record = placements.current(service);
      const owner = findOwner(record, ownerId);
      if (record && owner?.state === 'removed') {
        if (waitMs(owner) === Infinity) await fenceRound(record, owner, endsMs);
        const remainingMs = waitMs(owner);
        if (remainingMs <= 0) {
          markCleared(service, ownerId, 'its lease has ended at a majority of its witnesses');
          return 0;
        }
        if (remainingMs < Infinity) return remainingMs;
      }
      attempt += 1;
      logger.debug({ service, owner: ownerId, attempt }, 'no majority of witnesses answered yet');
      return backoffMs(attempt, random, FENCE_BACKOFF);
    });
  };

  const isCleared = (service: string, owner: OwnerId) => cleared.has(keyOf(service, owner));

  const clear = (service: string, owner: OwnerId, onCleared: () => void) => {
    const key = keyOf(service, owner);
    if (cleared.has(key)) {
      onCleared();
      return;
    }
    const known = clearings.get(key);
    if (known) {
      known.onCleared.add(onCleared);
      return;
    }
    clearings.set(key, {
      task: startClearing(service, owner), onCleared: new Set([onCleared]),
    });
  };

  transport.handle('release', ({ service, owner }, sender) => {
    const accepted = sender.node === nodeOf(owner);
    if (accepted) markCleared(service, owner, 'it released its slots');
    return { $case: 'released', value: { accepted } };
  });

  /** Ends what the newer record no longer needs. */
  const stopListening = placements.onChange((record, previous) => {
    const { service } = record;
    const { owners } = indexOf(record);
    for (const owner of previous ? indexOf(previous).owners.keys() : []) {
      if (owners.has(owner)) continue;
      const key = keyOf(service, owner);
      clearings.get(key)?.task.stop();
      clearings.delete(key);
      cleared.delete(key);
    }
  });

  const stop = () => {
    stopListening();
    for (const { task } of clearings.values()) task.stop();
    clearings.clear();
  };

  return { isCleared, clear, stop };
};

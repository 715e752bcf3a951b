import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import { acknowledgeWitnesses, type OwnerId, type Placements } from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { hasMajorities, sameWitnesses } from './_quorum.ts';
import { findOwner } from './_record_index.ts';
import { backoffMs } from './_task.ts';
import { LEASE_DURATION_MS } from './timing.ts';

interface WitnessAcknowledgementOptions {
  readonly clock: Clock;
  readonly placements: Placements;
  readonly service: string;
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  readonly logger: Logger;
  /** Send time of the newest renewal of a witness that counts, in ms. */
  readonly renewedMs: (witness: OwnerId) => number;
}

const ACKNOWLEDGE_BACKOFF = { firstMs: 200, limitMs: 5_000 };

/** Ends a joint change of witnesses once a majority of the new set has renewed the lease. */
export const createWitnessAcknowledgement = (options: WitnessAcknowledgementOptions) => {
  const {
    clock, placements, service, ownerId, logger,
  } = options;
  let running = false;
  let failures = 0;
  let nextAttemptMs = -Infinity;

  const isRenewed = (witness: OwnerId) => (
    options.renewedMs(witness) + LEASE_DURATION_MS > clock.now()
  );

  const attempt = async () => {
    const owner = findOwner(placements.current(service), ownerId);
    if (!owner || owner.previousWitnesses.length === 0) return;
    if (running || clock.now() < nextAttemptMs) return;
    if (!hasMajorities([owner.witnesses], isRenewed)) return;
    running = true;
    const outcome = await placements.update(service, (record) => {
      const current = findOwner(record, ownerId);
      // The renewals count only for the witnesses that were asked.
      if (!record || !current || current.state === 'removed') return undefined;
      return sameWitnesses(current, owner) ? acknowledgeWitnesses(record, ownerId) : undefined;
    });
    running = false;
    failures = outcome.isOk() ? 0 : failures + 1;
    nextAttemptMs = clock.now() + backoffMs(failures, options.random, ACKNOWLEDGE_BACKOFF);
    if (outcome.isOk()) logger.info({ service, owner: ownerId }, 'acknowledged its new witnesses');
  };

  return { attempt };
};

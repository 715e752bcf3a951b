import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import { acknowledgeWitnesses, type OwnerId, type Placements } from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { hasMajorityOfEachSet, haveSameWitnesses } from './_quorum.ts';
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
  /** Send time in ms of the newest renewal that a witness granted; `-Infinity` without one. */
  readonly renewalSentMs: (witness: OwnerId) => number;
}

const ACKNOWLEDGE_BACKOFF = { initialMs: 200, maxMs: 5_000 };

/**
 * Completes a joint change of witnesses: once a majority of the new set has renewed the lease,
 * `attempt` drops the previous set from the placement record.
 */
export const createWitnessAcknowledgement = (options: WitnessAcknowledgementOptions) => {
  const {
    clock, placements, service, ownerId, logger,
  } = options;
  let running = false;
  let failures = 0;
  let nextAttemptMs = -Infinity;

  const isRenewed = (witness: OwnerId) => (
    options.renewalSentMs(witness) + LEASE_DURATION_MS > clock.now()
  );

  const attempt = async () => {
    const owner = findOwner(placements.current(service), ownerId);
    if (!owner || owner.previousWitnesses.length === 0) return;
    if (running || clock.now() < nextAttemptMs) return;
    if (!hasMajorityOfEachSet([owner.witnesses], isRenewed)) return;
    running = true;
    const outcome = await placements.update(service, (record) => {
      const current = findOwner(record, ownerId);
      // The majority was checked for the witnesses of the known record; the stored record may list
      // others by now.
      if (!record || !current || current.state === 'removed') return undefined;
      return haveSameWitnesses(current, owner) ? acknowledgeWitnesses(record, ownerId) : undefined;
    });
    running = false;
    failures = outcome.isOk() ? 0 : failures + 1;
    nextAttemptMs = clock.now() + backoffMs(failures, options.random, ACKNOWLEDGE_BACKOFF);
    if (outcome.isOk()) logger.info({ service, owner: ownerId }, 'completed a change of witnesses');
  };

  return { attempt };
};

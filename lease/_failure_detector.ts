import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import {
  beginTakeover, type Owner, type OwnerId, type Placements, type WitnessReference,
} from '../placement/mod.ts';
import { type Logger, metricNames, type Metrics } from '../telemetry/mod.ts';
import {
  allWitnesses, hasMajorityOfEachSet, nodeOf, haveSameWitnesses, witnessSets,
} from './_quorum.ts';
import { findOwner } from './_record_index.ts';
import { backoffMs, startTask } from './_task.ts';
import { LEASE_DURATION_MS, TICK_INTERVAL_MS } from './timing.ts';
import type { Witness, WitnessedOwner } from './witness.ts';

interface FailureDetectorOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly witness: Witness;
  readonly random: RandomGenerator;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Delay between the removal attempts of successive witnesses, so that they rarely conflict. */
const WITNESS_STAGGER_MS = 100;
const QUERY_TIMEOUT_MS = 150;
const REMOVAL_BACKOFF = { initialMs: 100, maxMs: 1_000 };

/**
 * Monitors the owners that this process is a witness of, and removes an unresponsive owner from the
 * placement record once a majority of its witnesses confirms that it is unresponsive.
 */
export const startFailureDetector = (options: FailureDetectorOptions) => {
  const {
    clock, transport, placements, witness, random, logger, metrics,
  } = options;
  const suspected = new Set<string>();
  let stopped = false;

  const isUnresponsive = (service: string, ownerId: OwnerId) => (
    (witness.contactAgeMs(service, ownerId) ?? 0) >= LEASE_DURATION_MS
  );

  const isOwnNode = ({ id }: WitnessReference) => nodeOf(id) === nodeOf(witness.id);

  const witnessIndex = (owner: Owner) => Math.max(0, allWitnesses(owner).findIndex(isOwnNode));

  const reportsUnresponsive = async (
    { service, owner }: WitnessedOwner,
    reference: WitnessReference,
  ): Promise<boolean> => {
    if (isOwnNode(reference)) return isUnresponsive(service, owner.id);
    const outcome = await transport.request(reference.controlAddress, {
      $case: 'witnessQuery', value: { service, owner: owner.id, witness: reference.id },
    }, { timeoutMs: QUERY_TIMEOUT_MS });
    if (outcome.isErr() || outcome.value.$case !== 'witnessStatus') return false;
    const { known, fenced, lastRenewalAgeMs } = outcome.value.value;
    return (known || fenced) && lastRenewalAgeMs >= LEASE_DURATION_MS;
  };

  /**
   * Resolves to true as soon as a majority of each witness set reports the owner as unresponsive,
   * or to false when all requests have ended without one.
   */
  const isMajorityUnresponsive = (witnessed: WitnessedOwner): Promise<boolean> => (
    new Promise((resolve) => {
      const unresponsive = new Set<OwnerId>();
      const sets = witnessSets(witnessed.owner);
      const call = async (reference: WitnessReference) => {
        if (await reportsUnresponsive(witnessed, reference)) unresponsive.add(reference.id);
        if (hasMajorityOfEachSet(sets, (id) => unresponsive.has(id))) resolve(true);
      };
      Promise.all(allWitnesses(witnessed.owner).map(call)).then(() => resolve(false));
    })
  );

  const isUnchanged = (owner: Owner, current: Owner | undefined) => (
    current !== undefined && current.state === owner.state && haveSameWitnesses(current, owner)
  );

  /** All owners that are unresponsive here; a takeover should give them no slots. */
  const unresponsiveOwners = (service: string) => witness.witnessedOwners()
    .filter((witnessed) => (
      witnessed.service === service && isUnresponsive(service, witnessed.owner.id)
    ))
    .map(({ owner }) => owner.id);

  const removeOwner = async ({ service, owner }: WitnessedOwner): Promise<boolean> => {
    let isResolved = false;
    let isChanged = false;
    const outcome = await placements.update(service, (record) => {
      const current = findOwner(record, owner.id);
      isResolved = !isUnchanged(owner, current) || !isUnresponsive(service, owner.id);
      isChanged = false;
      if (!record || isResolved) return undefined;
      const next = beginTakeover(record, owner.id, { avoid: unresponsiveOwners(service) });
      isChanged = next !== undefined;
      return next;
    });
    if (outcome.isErr()) {
      const reason = outcome.error.message;
      logger.warn({ service, owner: owner.id, reason }, 'could not remove an unresponsive owner');
      return false;
    }
    if (!isChanged) return isResolved;
    metrics.increment(metricNames.takeovers, { service });
    const version = outcome.value?.version;
    logger.warn({ service, owner: owner.id, version }, 'removed an unresponsive owner');
    return true;
  };

  /**
   * Retries the removal of one unresponsive owner until it succeeds, the owner responds again, or
   * its entry in the placement record changes.
   */
  const confirmAndRemove = async (witnessed: WitnessedOwner) => {
    const { service, owner } = witnessed;
    const isStillSuspected = () => !stopped
      && isUnresponsive(service, owner.id)
      && isUnchanged(owner, findOwner(placements.current(service), owner.id));
    await clock.sleep(witnessIndex(owner) * WITNESS_STAGGER_MS);
    for (let attempt = 0; isStillSuspected(); attempt += 1) {
      const isConfirmed = await isMajorityUnresponsive(witnessed);
      if (isConfirmed && isStillSuspected() && await removeOwner(witnessed)) return;
      await clock.sleep(backoffMs(attempt, random, REMOVAL_BACKOFF));
    }
  };

  const task = startTask(clock, async () => {
    for (const witnessed of witness.witnessedOwners()) {
      const key = `${witnessed.service} ${witnessed.owner.id}`;
      if (suspected.has(key) || !isUnresponsive(witnessed.service, witnessed.owner.id)) continue;
      suspected.add(key);
      confirmAndRemove(witnessed).then(() => suspected.delete(key));
    }
    return TICK_INTERVAL_MS;
  });

  return {
    stop: () => {
      stopped = true;
      task.stop();
    },
  };
};

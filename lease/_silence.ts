import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import {
  beginTakeover, type Owner, type OwnerId, type Placements, type WitnessReference,
} from '../placement/mod.ts';
import { type Logger, metricNames, type Metrics } from '../telemetry/mod.ts';
import {
  allWitnesses, hasMajorities, nodeOf, sameWitnesses, witnessSets,
} from './_quorum.ts';
import { findOwner } from './_record_index.ts';
import { backoffMs, startTask } from './_task.ts';
import { LEASE_DURATION_MS, TICK_INTERVAL_MS } from './timing.ts';
import type { Witness, WitnessedOwner } from './witness.ts';

interface SilenceOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly witness: Witness;
  readonly random: RandomGenerator;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Delay between two witnesses that act on the same silent owner. */
const RANK_DELAY_MS = 100;
const QUERY_TIMEOUT_MS = 150;
const RETRY_BACKOFF = { firstMs: 100, limitMs: 1_000 };

/** Watches the owners that this process witnesses, and removes the silent ones. */
export const startSilenceDetection = (options: SilenceOptions) => {
  const {
    clock, transport, placements, witness, random, logger, metrics,
  } = options;
  const suspected = new Set<string>();
  let stopped = false;

  const isSilent = (service: string, ownerId: OwnerId) => (
    (witness.silenceMs(service, ownerId) ?? 0) >= LEASE_DURATION_MS
  );

  const isSelf = ({ id }: WitnessReference) => nodeOf(id) === nodeOf(witness.id);

  const rankOf = (owner: Owner) => Math.max(0, allWitnesses(owner).findIndex(isSelf));

  const hearsNothing = async (
    { service, owner }: WitnessedOwner,
    reference: WitnessReference,
  ): Promise<boolean> => {
    if (isSelf(reference)) return isSilent(service, owner.id);
    const outcome = await transport.request(reference.controlAddress, {
      $case: 'witnessQuery', value: { service, owner: owner.id, witness: reference.id },
    }, { timeoutMs: QUERY_TIMEOUT_MS });
    if (outcome.isErr() || outcome.value.$case !== 'witnessStatus') return false;
    const { known, fenced, lastRenewalAgeMs } = outcome.value.value;
    return (known || fenced) && lastRenewalAgeMs >= LEASE_DURATION_MS;
  };

  /** Resolves as soon as a majority of each set is silent, or when all calls have ended. */
  const isMajoritySilent = (witnessed: WitnessedOwner): Promise<boolean> => (
    new Promise((resolve) => {
      const silent = new Set<OwnerId>();
      const sets = witnessSets(witnessed.owner);
      const call = async (reference: WitnessReference) => {
        if (await hearsNothing(witnessed, reference)) silent.add(reference.id);
        if (hasMajorities(sets, (id) => silent.has(id))) resolve(true);
      };
      Promise.all(allWitnesses(witnessed.owner).map(call)).then(() => resolve(false));
    })
  );

  const isUnchanged = (owner: Owner, current: Owner | undefined) => (
    current !== undefined && current.state === owner.state && sameWitnesses(current, owner)
  );

  /** Other owners that this process does not hear; they should get no slots. */
  const silentOwners = (service: string) => witness.witnessed()
    .filter((witnessed) => witnessed.service === service && isSilent(service, witnessed.owner.id))
    .map(({ owner }) => owner.id);

  const remove = async ({ service, owner }: WitnessedOwner): Promise<boolean> => {
    let settled = false;
    let changed = false;
    const outcome = await placements.update(service, (record) => {
      const current = findOwner(record, owner.id);
      settled = !isUnchanged(owner, current) || !isSilent(service, owner.id);
      changed = false;
      if (!record || settled) return undefined;
      const next = beginTakeover(record, owner.id, { avoid: silentOwners(service) });
      changed = next !== undefined;
      return next;
    });
    if (outcome.isErr()) {
      const reason = outcome.error.message;
      logger.warn({ service, owner: owner.id, reason }, 'could not remove a silent owner');
      return false;
    }
    if (!changed) return settled;
    metrics.increment(metricNames.takeovers, { service });
    const version = outcome.value?.version;
    logger.warn({ service, owner: owner.id, version }, 'removed a silent owner');
    return true;
  };

  /** Follows one silent owner until it is heard, removed by anyone, or changed in the record. */
  const suspect = async (witnessed: WitnessedOwner) => {
    const { service, owner } = witnessed;
    const isOpen = () => !stopped
      && isSilent(service, owner.id)
      && isUnchanged(owner, findOwner(placements.current(service), owner.id));
    await clock.sleep(rankOf(owner) * RANK_DELAY_MS);
    for (let attempt = 0; isOpen(); attempt += 1) {
      const isConfirmed = await isMajoritySilent(witnessed);
      if (isConfirmed && isOpen() && await remove(witnessed)) return;
      await clock.sleep(backoffMs(attempt, random, RETRY_BACKOFF));
    }
  };

  const task = startTask(clock, async () => {
    for (const witnessed of witness.witnessed()) {
      const key = `${witnessed.service} ${witnessed.owner.id}`;
      if (suspected.has(key) || !isSilent(witnessed.service, witnessed.owner.id)) continue;
      suspected.add(key);
      suspect(witnessed).then(() => suspected.delete(key));
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

import { err, ok, type Result } from 'neverthrow';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { ServiceDefinition } from '../contract/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { Membership } from '../membership/mod.ts';
import { MemberState } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type Decision, decideChanges, findActor } from './_decide_changes.ts';
import { runDrain } from './_drain.ts';
import { addOwner, createRecord } from './owner_changes.ts';
import { createOwnerId, processIdOf } from './owner_id.ts';
import type { ServiceLoad } from './plan_hot_keys.ts';
import type { RebalanceOptions } from './plan_rebalance.ts';
import type { Owner, PlacementRecord } from './placement_record.ts';
import type { Placements } from './placements.ts';
import type { JoiningInstance, Placer } from './placer.ts';
import type { SlotOfKey } from './slot_of_key.ts';
import { confirmLostOwner } from './takeover.ts';
import { chooseWitnesses } from './witnesses.ts';

const PASS_PERIOD_MS = 1000;
const PASS_JITTER_MS = 200;
/** The first pass of a node comes after a random part of this time. */
const START_STAGGER_MS = 2000;

/** What a placer is built from. */
export interface PlacerOptions {
  readonly placements: Placements;
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Source of the stagger and of the jitter. */
  readonly random: RandomGenerator;
  readonly slotOfKey: SlotOfKey;
  /** Load of a service over the last period; without it no hot key gets an owner of its own. */
  readonly loadOf?: (service: string) => ServiceLoad | undefined;
  readonly rebalance?: RebalanceOptions;
  /** Told when a drain begins and ends; callers wait for its writes. */
  readonly onDrain?: (isDraining: boolean) => void;
}

interface WantedOwner {
  readonly service: ServiceDefinition;
  readonly instance: JoiningInstance;
}

const fail = (step: string, service: string, reason: string) => (
  err(new StepError(reason, { step: `placement.${step}`, peer: service }))
);

/**
 * Creates the placer of a node and starts its passes.
 *
 * @param options Records, membership, clock, logger, random source and load.
 * @returns The placer.
 *
 * @example
 * const placer = createPlacer({ placements, membership, clock, logger, random, slotOfKey });
 * await placer.join(service, { instance: 'ledger-1', weight: 1 });
 */
export const createPlacer = (options: PlacerOptions): Placer => {
  const {
    placements, membership, clock, logger, random,
  } = options;
  const wanted = new Map<string, WantedOwner>();
  /** Incarnation that joined last, by service; it does not join twice. */
  const joined = new Map<string, string>();
  const joining = new Set<string>();
  const rejoins = new Map<string, number>();
  const stopping = new AbortController();

  const processId = () => {
    const { node, incarnation } = membership.self();
    return `${node}#${incarnation}`;
  };

  const ownerIdOf = (service: string) => createOwnerId(processId(), rejoins.get(service) ?? 0);

  /** True when the identifier was used and the record does not show it as an owner any more. */
  const isSpent = (service: string) => {
    const id = ownerIdOf(service);
    const owner = placements.current(service)?.owners.find((entry) => entry.id === id);
    return owner === undefined ? joined.get(service) === id : owner.state === 'removed';
  };

  const log = (service: string, version: number, { sentence, fields }: Decision) => {
    logger.info({ service, version, ...fields }, sentence);
  };

  const createOwner = (service: string, { instance, weight }: JoiningInstance): Owner => {
    const self = membership.self();
    const id = ownerIdOf(service);
    const owner: Owner = {
      id,
      node: self.node,
      incarnation: id.slice(id.lastIndexOf('#') + 1),
      instance,
      controlAddress: self.controlAddress,
      peerAddress: self.peerAddress,
      region: self.region,
      failureDomain: self.failureDomain,
      weight,
      witnesses: [],
      previousWitnesses: [],
      state: 'active',
    };
    const alive = membership.members()
      .filter(({ state }) => state === MemberState.MEMBER_STATE_ALIVE);
    return { ...owner, witnesses: chooseWitnesses(alive, owner) };
  };

  const addWanted = async (
    { service, instance }: WantedOwner,
  ): Promise<Result<PlacementRecord, StepError>> => {
    const { name, slotCount } = service;
    if (!service.keyed || slotCount === undefined) {
      return fail('join', name, 'the service is not divided by key');
    }
    if (isSpent(name)) rejoins.set(name, (rejoins.get(name) ?? 0) + 1);
    const owner = createOwner(name, instance);
    joining.add(name);
    const outcome = await placements.update(name, (record) => (
      addOwner(record ?? createRecord(name, slotCount), owner)
    ));
    joining.delete(name);
    if (outcome.isErr()) return err(outcome.error);
    joined.set(name, owner.id);
    const record = outcome.value;
    const entered = record?.owners.find(({ id }) => id === owner.id);
    if (record === undefined || entered?.state !== 'active') {
      return fail('join', name, `${owner.id} is ${entered?.state ?? 'not an owner'}`);
    }
    const fields = { owner: owner.id, instance: instance.instance, weight: instance.weight };
    log(name, record.version, { sentence: 'joined as an owner', fields });
    return ok(record);
  };

  const join: Placer['join'] = (service, instance) => {
    const entry = { service, instance };
    wanted.set(service.name, entry);
    return addWanted(entry);
  };

  const retryJoins = async () => {
    for (const entry of [...wanted.values()]) {
      const { name } = entry.service;
      if (joined.get(name) === ownerIdOf(name) || joining.has(name)) continue;
      const outcome = await addWanted(entry);
      if (outcome.isErr()) logger.warn({ service: name }, outcome.error.message);
    }
  };

  const act = async (service: string) => {
    const record = placements.current(service);
    if (record === undefined) return;
    if (findActor(record, membership.members()) !== ownerIdOf(service)) return;
    const view = {
      members: membership.members(),
      slotOfKey: options.slotOfKey,
      load: options.loadOf?.(service),
      rebalance: options.rebalance ?? {},
    };
    // The store is read only when the record known here asks for a change.
    if (decideChanges(record, view).record === undefined) return;
    let decisions: readonly Decision[] = [];
    const outcome = await placements.update(service, (current) => {
      if (current === undefined) return undefined;
      const decided = decideChanges(current, view);
      decisions = decided.decisions;
      return decided.record;
    });
    if (outcome.isErr()) {
      logger.warn({ service }, `could not change the placement: ${outcome.error.message}`);
      return;
    }
    for (const decision of decisions) log(service, outcome.value?.version ?? 0, decision);
  };

  const run = async () => {
    await clock.sleep(uniformInt(random, 0, START_STAGGER_MS), stopping.signal);
    while (!stopping.signal.aborted) {
      await retryJoins();
      for (const service of placements.services()) await act(service);
      const jitterMs = uniformInt(random, -PASS_JITTER_MS, PASS_JITTER_MS);
      await clock.sleep(PASS_PERIOD_MS + jitterMs, stopping.signal);
    }
  };

  const confirmLost: Placer['confirmLost'] = async (service, ownerId) => {
    const isMember = membership.members()
      .some(({ node, incarnation }) => `${node}#${incarnation}` === processIdOf(ownerId));
    if (isMember) return fail('confirm-lost', service, `${ownerId} is a member of the fleet`);
    const outcome = await placements.update(service, (record) => (
      record && confirmLostOwner(record, ownerId)
    ));
    if (outcome.isErr()) return err(outcome.error);
    const record = outcome.value;
    if (!record?.owners.some(({ id }) => id === ownerId)) {
      return fail('confirm-lost', service, `${ownerId} is not an owner`);
    }
    const sentence = 'took over from an owner that an operator confirmed as lost';
    log(service, record.version, { sentence, fields: { owner: ownerId } });
    return ok(record);
  };

  run().catch((error: unknown) => {
    logger.error({ error: String(error) }, 'the placement passes ended');
  });

  return {
    join,
    ownerIdOf,
    drain: async (drainOptions = {}) => {
      wanted.clear();
      options.onDrain?.(true);
      const signals = [stopping.signal, drainOptions.signal]
        .filter((signal) => signal !== undefined);
      const drained = await runDrain({
        placements,
        clock,
        ownerIdOf,
        rebalance: options.rebalance ?? {},
        signal: AbortSignal.any(signals),
        log,
        isPresent: (ownerId) => membership.members()
          .some(({ node, incarnation }) => `${node}#${incarnation}` === processIdOf(ownerId)),
      });
      options.onDrain?.(false);
      return drained;
    },
    confirmLost,
    stop: () => stopping.abort(),
  };
};

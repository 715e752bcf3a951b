import { err, ok, type Result } from 'neverthrow';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { ServiceDefinition } from '../contract/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { Membership } from '../membership/mod.ts';
import { MemberState } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type Decision, decideChanges, findCoordinator } from './_decide_changes.ts';
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

const PASS_INTERVAL_MS = 1000;
const PASS_JITTER_MS = 200;
/** Upper bound of the random delay before the first pass, which spreads the passes of nodes. */
const MAX_START_DELAY_MS = 2000;

/** Dependencies and options of a placer. */
export interface PlacerOptions {
  readonly placements: Placements;
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Random source for the start delay and the jitter of the passes. */
  readonly random: RandomGenerator;
  readonly slotOfKey: SlotOfKey;
  /** Returns the recent load of a service. Without it no key gets an owner of its own. */
  readonly loadOf?: (service: string) => ServiceLoad | undefined;
  readonly rebalance?: RebalanceOptions;
  /** Called with `true` when a drain starts and `false` when it ends; callers await its writes. */
  readonly onDrainChange?: (isDraining: boolean) => void;
}

/** A service that this node should own slots of, and its local instance. */
interface DesiredOwner {
  readonly service: ServiceDefinition;
  readonly instance: JoiningInstance;
}

const fail = (step: string, service: string, reason: string) => (
  err(new StepError(reason, { step: `placement.${step}`, peer: service }))
);

/**
 * Creates the placer of a node and starts its periodic passes, in which it retries failed joins
 * and, where this node is the coordinator of a service, updates the record.
 *
 * @param options Placement records, membership, clock, logger, random source and load.
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
  const desiredOwners = new Map<string, DesiredOwner>();
  /** Owner identifier that joined last, by service; the same identifier does not join twice. */
  const joinedOwnerIds = new Map<string, string>();
  const joinsInProgress = new Set<string>();
  const rejoinCounts = new Map<string, number>();
  const stopController = new AbortController();

  const processId = () => {
    const { node, incarnation } = membership.self();
    return `${node}#${incarnation}`;
  };

  const ownerIdOf = (service: string) => createOwnerId(processId(), rejoinCounts.get(service) ?? 0);

  /** Returns whether the current owner identifier has joined before and is no longer an owner. */
  const isOwnerIdRetired = (service: string) => {
    const id = ownerIdOf(service);
    const owner = placements.current(service)?.owners.find((entry) => entry.id === id);
    return owner === undefined ? joinedOwnerIds.get(service) === id : owner.state === 'removed';
  };

  const log = (service: string, version: number, { message, fields }: Decision) => {
    logger.info({ service, version, ...fields }, message);
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

  const addDesiredOwner = async (
    { service, instance }: DesiredOwner,
  ): Promise<Result<PlacementRecord, StepError>> => {
    const { name, slotCount } = service;
    if (!service.keyed || slotCount === undefined) {
      return fail('join', name, 'the service is not keyed or has no slot count');
    }
    if (isOwnerIdRetired(name)) rejoinCounts.set(name, (rejoinCounts.get(name) ?? 0) + 1);
    const owner = createOwner(name, instance);
    joinsInProgress.add(name);
    const outcome = await placements.update(name, (record) => (
      addOwner(record ?? createRecord(name, slotCount), owner)
    ));
    joinsInProgress.delete(name);
    if (outcome.isErr()) return err(outcome.error);
    joinedOwnerIds.set(name, owner.id);
    const record = outcome.value;
    const added = record?.owners.find(({ id }) => id === owner.id);
    if (record === undefined || added?.state !== 'active') {
      return fail('join', name, `${owner.id} is ${added?.state ?? 'not an owner'}`);
    }
    const fields = { owner: owner.id, instance: instance.instance, weight: instance.weight };
    log(name, record.version, { message: 'joined the service as an owner', fields });
    return ok(record);
  };

  const join: Placer['join'] = (service, instance) => {
    const entry = { service, instance };
    desiredOwners.set(service.name, entry);
    return addDesiredOwner(entry);
  };

  const retryJoins = async () => {
    for (const entry of [...desiredOwners.values()]) {
      const { name } = entry.service;
      if (joinedOwnerIds.get(name) === ownerIdOf(name) || joinsInProgress.has(name)) continue;
      const outcome = await addDesiredOwner(entry);
      if (outcome.isErr()) logger.warn({ service: name }, outcome.error.message);
    }
  };

  const reconcile = async (service: string) => {
    const record = placements.current(service);
    if (record === undefined) return;
    if (findCoordinator(record, membership.members()) !== ownerIdOf(service)) return;
    const view = {
      members: membership.members(),
      slotOfKey: options.slotOfKey,
      load: options.loadOf?.(service),
      rebalance: options.rebalance ?? {},
    };
    // Skips the store read when the cached record needs no change.
    if (decideChanges(record, view).record === undefined) return;
    let decisions: readonly Decision[] = [];
    const outcome = await placements.update(service, (current) => {
      if (current === undefined) return undefined;
      const decided = decideChanges(current, view);
      decisions = decided.decisions;
      return decided.record;
    });
    if (outcome.isErr()) {
      logger.warn({ service }, `failed to update the placement: ${outcome.error.message}`);
      return;
    }
    for (const decision of decisions) log(service, outcome.value?.version ?? 0, decision);
  };

  const runPasses = async () => {
    await clock.sleep(uniformInt(random, 0, MAX_START_DELAY_MS), stopController.signal);
    while (!stopController.signal.aborted) {
      await retryJoins();
      for (const service of placements.services()) await reconcile(service);
      const jitterMs = uniformInt(random, -PASS_JITTER_MS, PASS_JITTER_MS);
      await clock.sleep(PASS_INTERVAL_MS + jitterMs, stopController.signal);
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
    const message = 'took over from an owner that an operator confirmed as lost';
    log(service, record.version, { message, fields: { owner: ownerId } });
    return ok(record);
  };

  runPasses().catch((error: unknown) => {
    logger.error({ error: String(error) }, 'placement passes stopped after an unexpected error');
  });

  return {
    join,
    ownerIdOf,
    drain: async (drainOptions = {}) => {
      desiredOwners.clear();
      options.onDrainChange?.(true);
      const signals = [stopController.signal, drainOptions.signal]
        .filter((signal) => signal !== undefined);
      const drained = await runDrain({
        placements,
        clock,
        ownerIdOf,
        rebalance: options.rebalance ?? {},
        signal: AbortSignal.any(signals),
        log,
        isMember: (ownerId) => membership.members()
          .some(({ node, incarnation }) => `${node}#${incarnation}` === processIdOf(ownerId)),
      });
      options.onDrainChange?.(false);
      return drained;
    },
    confirmLost,
    stop: () => stopController.abort(),
  };
};

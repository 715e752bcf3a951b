import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { err } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { Placements } from '../placement/mod.ts';
import {
  type Logger, type Metrics, noopLogger, noopMetrics,
} from '../telemetry/mod.ts';
import { createOwnedService } from './_owned_service.ts';
import { recordIndexOf } from './_record_index.ts';
import type { LeaseHolder } from './lease_holder.ts';
import type { OwnershipRefusal, Ownership, UpstreamGrants } from './ownership.ts';
import type { Takeover } from './takeover.ts';

/** The local upstream instance of an owner incarnation. */
export interface AttachOptions {
  readonly instance: string;
  /** Absent when the upstream does not check grants. */
  readonly grants?: UpstreamGrants;
}

/** Ownership checks of one node for all services that it serves. */
export interface NodeOwnership extends Ownership {
  /** Starts serving under a lease, in place of an earlier lease of the same service. */
  readonly attach: (holder: LeaseHolder, options: AttachOptions) => void;
  /** Stops serving a service. The caller stops the lease holder. */
  readonly detach: (service: string) => void;
  readonly stop: () => void;
}

/** Options of `createOwnership`. */
export interface OwnershipOptions {
  readonly clock: Clock;
  readonly placements: Placements;
  readonly takeover: Takeover;
  /** Maps a key to its slot; must be the same function on all nodes. */
  readonly slotOfKey: (key: string, slotCount: number) => number;
  readonly random: RandomGenerator;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

type OwnedService = ReturnType<typeof createOwnedService>;

/**
 * Creates the ownership of a node: it checks each request before dispatch, sends grants to the
 * local instances, and completes planned moves of slots and hot keys.
 *
 * @param options Clock, placements, takeover and the slot function.
 * @returns The ownership, without services until `attach` is called.
 *
 * @example
 * const ownership = createOwnership({ clock, placements, takeover, slotOfKey, random });
 * ownership.attach(holder, { instance: 'ledger-1' });
 * const permit = ownership.acquire('ledger', 'gate-17');
 */
export const createOwnership = (options: OwnershipOptions): NodeOwnership => {
  const { placements } = options;
  const logger = options.logger ?? noopLogger.forComponent('lease');
  const metrics = options.metrics ?? noopMetrics;
  const ownedServices = new Map<string, OwnedService>();

  const detach = (service: string) => {
    ownedServices.get(service)?.stop();
    ownedServices.delete(service);
  };

  const attach: NodeOwnership['attach'] = (holder, { instance, grants }) => {
    const { service, ownerId } = holder;
    detach(service);
    ownedServices.set(service, createOwnedService({
      ...options, logger, metrics, service, ownerId, holder, instance, grants,
    }));
  };

  const acquire: Ownership['acquire'] = (service, key) => {
    const record = placements.current(service);
    if (!record) return err({ reason: 'unplaced', owner: undefined, version: 0 });
    const index = recordIndexOf(record);
    const slot = options.slotOfKey(key, record.slotCount);
    const state = index.hotKeys.get(key) ?? record.slots[slot];
    const refusal = (reason: OwnershipRefusal['reason']): OwnershipRefusal => ({
      reason,
      owner: state?.owner === undefined ? undefined : index.owners.get(state.owner),
      version: record.version,
    });
    if (state?.owner === undefined) return err(refusal('unplaced'));
    const owned = ownedServices.get(service);
    if (owned?.ownerId !== state.owner) return err(refusal('not-owner'));
    return owned.acquire({
      record, key, slot, state,
    }).mapErr(refusal);
  };

  const stopListening = placements.onChange((record, previous) => {
    ownedServices.get(record.service)?.reconcile(previous);
  });

  return {
    acquire,
    attach,
    detach,
    stop: () => {
      stopListening();
      for (const service of [...ownedServices.keys()]) detach(service);
    },
  };
};

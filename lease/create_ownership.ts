import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { err } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { Placements } from '../placement/mod.ts';
import {
  type Logger, type Metrics, silentLogger, silentMetrics,
} from '../telemetry/mod.ts';
import { createOwnedService } from './_owned_service.ts';
import { indexOf } from './_record_index.ts';
import type { LeaseHolder } from './lease_holder.ts';
import type { NotOwned, Ownership, UpstreamGrants } from './ownership.ts';
import type { Takeover } from './takeover.ts';

/** The local instance that an owner incarnation serves. */
export interface AttachOptions {
  readonly instance: string;
  /** Missing where the upstream does not check grants. */
  readonly grants?: UpstreamGrants;
}

/** The ownership of a node, over the lease holders of its services. */
export interface NodeOwnership extends Ownership {
  /** Serves under a lease holder; it replaces the former holder of the same service. */
  readonly attach: (holder: LeaseHolder, options: AttachOptions) => void;
  /** Stops serving a service; the caller stops the holder. */
  readonly detach: (service: string) => void;
  readonly stop: () => void;
}

/** Options of the ownership of a node. */
export interface OwnershipOptions {
  readonly clock: Clock;
  readonly placements: Placements;
  readonly takeover: Takeover;
  /** Slot of a key, the same on all nodes. */
  readonly slotOfKey: (key: string, slotCount: number) => number;
  readonly random: RandomGenerator;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

type OwnedService = ReturnType<typeof createOwnedService>;

/**
 * Creates the ownership of a node: the check before each dispatch, the grants at the local
 * instance, and the hand-over of slots in planned moves.
 *
 * @param options Clock, placements, takeover and the slot function.
 * @returns The ownership.
 *
 * @example
 * const ownership = createOwnership({ clock, placements, takeover, slotOfKey, random });
 * ownership.attach(holder, { instance: 'ledger-1' });
 * const ticket = ownership.enter('ledger', 'gate-17');
 */
export const createOwnership = (options: OwnershipOptions): NodeOwnership => {
  const { placements } = options;
  const logger = options.logger ?? silentLogger.forPart('lease');
  const metrics = options.metrics ?? silentMetrics;
  const attached = new Map<string, OwnedService>();

  const detach = (service: string) => {
    attached.get(service)?.stop();
    attached.delete(service);
  };

  const attach: NodeOwnership['attach'] = (holder, { instance, grants }) => {
    const { service, ownerId } = holder;
    detach(service);
    attached.set(service, createOwnedService({
      ...options, logger, metrics, service, ownerId, holder, instance, grants,
    }));
  };

  const enter: Ownership['enter'] = (service, key) => {
    const record = placements.current(service);
    if (!record) return err({ reason: 'unplaced', owner: undefined, version: 0 });
    const index = indexOf(record);
    const slot = options.slotOfKey(key, record.slotCount);
    const state = index.hotKeys.get(key) ?? record.slots[slot];
    const refusal = (reason: NotOwned['reason']): NotOwned => ({
      reason,
      owner: state?.owner === undefined ? undefined : index.owners.get(state.owner),
      version: record.version,
    });
    if (state?.owner === undefined) return err(refusal('unplaced'));
    const owned = attached.get(service);
    if (owned?.ownerId !== state.owner) return err(refusal('not-owner'));
    return owned.enter({
      record, key, slot, state,
    }).mapErr(refusal);
  };

  const stopListening = placements.onChange((record, previous) => {
    attached.get(record.service)?.settle(previous);
  });

  return {
    enter,
    attach,
    detach,
    stop: () => {
      stopListening();
      for (const service of [...attached.keys()]) detach(service);
    },
  };
};

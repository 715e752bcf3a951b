import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { ServiceDefinition } from '../contract/mod.ts';
import { createUpstreamGrants } from '../forward/mod.ts';
import {
  createLeaseHolder, type LeaseHolder, type NodeOwnership, type UpstreamGrants,
} from '../lease/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { Placements, Placer } from '../placement/mod.ts';
import type { Logger, Metrics } from '../telemetry/mod.ts';
import type { Announcement, Announcements } from './announcements.ts';
import type { Contracts } from './contracts.ts';

/** Registers this node as an owner of the keyed services that have a local instance. */
export interface OwnerService {
  readonly holders: () => readonly LeaseHolder[];
  /** Transfers all slots to other nodes; resolves when this node owns none. */
  readonly drain: () => Promise<void>;
  readonly stop: () => void;
}

/** Options of the owner service. */
export interface OwnerServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly placer: Placer;
  readonly ownership: NodeOwnership;
  readonly announcements: Announcements;
  readonly contracts: Contracts;
  readonly random: RandomGenerator;
  /** Creates the grants of the instance at an address; over HTTP by default. */
  readonly createGrants?: (address: string, options: { readonly clock: Clock }) => UpstreamGrants;
}

const RECONCILE_INTERVAL_MS = 500;
/**
 * An owner that obtains no lease is removed after about 1 s. Rejoining without a delay would repeat
 * this.
 */
const FIRST_REJOIN_DELAY_MS = 500;
const MAX_REJOIN_DELAY_MS = 60_000;

interface OwnedInstance {
  readonly instance: string;
  readonly service: string;
  readonly holder: LeaseHolder;
}

/** Backoff before a removed owner may rejoin. */
interface RejoinBackoff {
  readonly delayMs: number;
  readonly notBefore: number;
}

/** Starts the task that joins and leaves services, and rejoins them after a removal. */
export const startOwnerService = (options: OwnerServiceOptions): OwnerService => {
  const {
    clock, logger, placer, ownership, announcements, contracts,
    createGrants = createUpstreamGrants,
  } = options;
  const owned = new Map<string, OwnedInstance>();
  const stop = new AbortController();
  let wakeUp = new AbortController();
  let draining = false;
  const rejoins = new Map<string, RejoinBackoff>();

  const detach = (service: string) => {
    owned.get(service)?.holder.stop();
    owned.delete(service);
    ownership.detach(service);
  };

  const backOffRejoin = (service: string) => {
    const last = rejoins.get(service);
    const isStable = last === undefined || clock.now() - last.notBefore > MAX_REJOIN_DELAY_MS;
    const delayMs = isStable
      ? FIRST_REJOIN_DELAY_MS
      : Math.min(MAX_REJOIN_DELAY_MS, last.delayMs * 2);
    rejoins.set(service, { delayMs, notBefore: clock.now() + delayMs });
  };

  const attach = (
    definition: ServiceDefinition,
    announcement: Announcement,
    ownerId: string,
  ) => {
    const { instance } = announcement;
    const holder = createLeaseHolder({
      clock,
      logger: logger.forComponent('lease'),
      metrics: options.metrics,
      transport: options.transport,
      placements: options.placements,
      service: definition.name,
      ownerId,
      random: options.random,
      onRemoved: () => {
        logger.warn({ owner: ownerId }, 'owner was removed; rejoining with a new incarnation');
        detach(definition.name);
        backOffRejoin(definition.name);
      },
    });
    owned.set(definition.name, { instance, service: definition.name, holder });
    ownership.attach(holder, {
      instance,
      ...(definition.checksGrants
        ? { grants: createGrants(new URL(announcement.url).host, { clock }) }
        : {}),
    });
  };

  const join = async (announcement: Announcement) => {
    const definition = contracts.compiled().findService(announcement.service);
    if (!definition?.keyed || owned.has(definition.name)) return;
    if (clock.now() < (rejoins.get(definition.name)?.notBefore ?? 0)) return;
    const joined = await placer.join(definition, announcement);
    if (joined.isErr()) {
      logger.warn({ error: joined.error.message }, 'failed to join as an owner; retrying');
      return;
    }
    if (!stop.signal.aborted) attach(definition, announcement, placer.ownerIdOf(definition.name));
  };

  /** Drains this node, which then owns nothing, so that the instance can join when ready again. */
  const leave = async (service: string) => {
    if (!owned.has(service)) return;
    const drained = await placer.drain();
    if (drained.isErr()) return;
    for (const name of [...owned.keys()]) detach(name);
  };

  const reconcile = async () => {
    for (const { instance } of announcements.instances()) {
      const announcement = announcements.find(instance);
      if (announcement === undefined || draining) continue;
      if (announcement.state === 'draining') await leave(announcement.service);
      else await join(announcement);
    }
  };

  const reconcileLoop = async () => {
    while (!stop.signal.aborted) {
      await reconcile();
      wakeUp = new AbortController();
      await clock.sleep(RECONCILE_INTERVAL_MS, AbortSignal.any([wakeUp.signal, stop.signal]));
    }
  };

  announcements.onChange((instance, announcement) => {
    if (announcement === undefined) {
      for (const entry of owned.values()) if (entry.instance === instance) detach(entry.service);
    }
    wakeUp.abort();
  });
  reconcileLoop().catch((error: unknown) => logger.error({ err: error }, 'owner task failed'));

  return {
    holders: () => [...owned.values()].map(({ holder }) => holder),
    drain: async () => {
      draining = true;
      await placer.drain();
    },
    stop: () => {
      stop.abort();
      for (const service of [...owned.keys()]) detach(service);
    },
  };
};

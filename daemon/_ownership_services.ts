import { randomInt } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import {
  createOwnership, createTakeover, createWitness, type NodeOwnership, type Takeover, type Witness,
} from '../lease/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import {
  createLoadReports,
  createPlacer,
  createSlotOfKey,
  type LoadReports,
  type Placements,
  type Placer,
  type SlotOfKey,
} from '../placement/mod.ts';
import type { GuardedStore } from '../store/mod.ts';
import type { Logger, Metrics } from '../telemetry/mod.ts';
import { type Announcements, createAnnouncements } from './announcements.ts';
import type { Contracts } from './contracts.ts';
import { type OwnerService, startOwnerService } from './_owner_service.ts';

const SEED_LIMIT = 2 ** 31;

/** Registers the services that determine which node owns which keys. */
export const registerOwnershipServices = (
  kernel: Kernel,
  node: string,
  incarnation: string,
): void => {
  const { register } = kernel;

  register<RandomGenerator>({
    name: 'random',
    needs: [],
    start: () => ({ service: xoroshiro128plus(randomInt(SEED_LIMIT)) }),
  });

  register<SlotOfKey>({
    name: 'slot-of-key',
    needs: [],
    start: async () => ({ service: await createSlotOfKey() }),
  });

  register<Announcements>({
    name: 'announcements',
    needs: ['clock', 'logger'],
    start: (find) => {
      const announcements = createAnnouncements({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('announce'),
      });
      return { service: announcements, stop: announcements.stop };
    },
  });

  register<Witness>({
    name: 'witness',
    needs: ['clock', 'logger', 'transport', 'placements'],
    start: (find) => {
      const witness = createWitness({
        clock: find<Clock>('clock'),
        transport: find<PeerTransport>('transport'),
        placements: find<Placements>('placements'),
        node,
        incarnation,
        logger: find<Logger>('logger').forComponent('witness'),
      });
      return { service: witness, stop: witness.stop };
    },
  });

  register<Takeover>({
    name: 'takeover',
    needs: ['witness', 'random', 'metrics'],
    start: (find) => {
      const takeover = createTakeover({
        clock: find<Clock>('clock'),
        transport: find<PeerTransport>('transport'),
        placements: find<Placements>('placements'),
        witness: find<Witness>('witness'),
        random: find<RandomGenerator>('random'),
        logger: find<Logger>('logger').forComponent('takeover'),
        metrics: find<Metrics>('metrics'),
      });
      return { service: takeover, stop: takeover.stop };
    },
  });

  register<NodeOwnership>({
    name: 'ownership',
    needs: ['takeover', 'slot-of-key'],
    start: (find) => {
      const ownership = createOwnership({
        clock: find<Clock>('clock'),
        placements: find<Placements>('placements'),
        takeover: find<Takeover>('takeover'),
        slotOfKey: find<SlotOfKey>('slot-of-key'),
        random: find<RandomGenerator>('random'),
        logger: find<Logger>('logger').forComponent('lease'),
        metrics: find<Metrics>('metrics'),
      });
      return { service: ownership, stop: ownership.stop };
    },
  });

  register<Placer>({
    name: 'placer',
    needs: ['clock', 'logger', 'placements', 'membership', 'random', 'slot-of-key', 'store'],
    start: (find) => {
      const placer = createPlacer({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('placement'),
        placements: find<Placements>('placements'),
        membership: find<Membership>('membership'),
        slotOfKey: find<SlotOfKey>('slot-of-key'),
        random: find<RandomGenerator>('random'),
        loadOf: (service) => (kernel.isRunning('load-reports')
          ? find<LoadReports>('load-reports').loadOf(service)
          : undefined),
        onDrainChange: find<GuardedStore>('store').setShortBackoff,
      });
      return { service: placer, stop: placer.stop };
    },
  });

  register<LoadReports>({
    name: 'load-reports',
    needs: ['transport', 'membership', 'placements', 'slot-of-key', 'placer'],
    start: (find) => {
      const reports = createLoadReports({
        clock: find<Clock>('clock'),
        transport: find<PeerTransport>('transport'),
        membership: find<Membership>('membership'),
        placements: find<Placements>('placements'),
        slotOfKey: find<SlotOfKey>('slot-of-key'),
        ownerIdOf: find<Placer>('placer').ownerIdOf,
      });
      return { service: reports, stop: reports.stop };
    },
  });

  register<OwnerService>({
    name: 'owner',
    needs: ['ownership', 'placer', 'announcements', 'contracts', 'metrics'],
    start: (find) => {
      const owner = startOwnerService({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('owner'),
        metrics: find<Metrics>('metrics'),
        transport: find<PeerTransport>('transport'),
        placements: find<Placements>('placements'),
        placer: find<Placer>('placer'),
        ownership: find<NodeOwnership>('ownership'),
        announcements: find<Announcements>('announcements'),
        contracts: find<Contracts>('contracts'),
        random: find<RandomGenerator>('random'),
      });
      return { service: owner, stop: owner.stop };
    },
  });
};

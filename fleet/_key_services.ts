import type { ColdStartLimit } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { FleetView, NodeRegistration, StoreView } from '../directory/mod.ts';
import type { SlotQueue } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import {
  createGrantTracker, createKeyLoad, type GrantTracker, type KeyLoad, RIGHT_TO_GRANT_MS,
  type RightToGrant,
} from '../ranges/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';
import type { ColdInstance } from './cold_instance.ts';
import type { EraRecovery } from './era_recovery.ts';
import type { ContractSource } from './contract_source.ts';
import type { EvacuationRules } from './evacuation_rules.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import { createLoadCollector, type LoadCollector } from './load_collector.ts';
import { createPlannerSuccession, type PlannerSuccession } from './planner_succession.ts';
import { createRangeController, grantableMs, type RangeController } from './range_controller.ts';
import { mayRelay } from './relayed_changes.ts';

/** At the first start of a fleet, instances announce themselves within some seconds. */
const FIRST_ASSIGNMENT_MS = 4500;

/** Registers the services that own and move keys: loads, grants, records and their planner. */
export const registerKeyServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<KeyLoad>({
    name: 'key-load',
    needs: ['clock'],
    start: (find) => ({ service: createKeyLoad(find<Clock>('clock')) }),
  });

  kernel.register<GrantTracker>({
    name: 'ledger',
    needs: ['clock'],
    start: (find) => ({
      service: createGrantTracker({
        clock: find<Clock>('clock'),
        node: settings.node,
        maxHoldMs: settings.bounds.maxHoldMs,
      }),
    }),
  });

  kernel.register<PlannerSuccession>({
    name: 'succession',
    needs: ['clock', 'view', 'right'],
    start: (find) => ({
      service: createPlannerSuccession({
        clock: find<Clock>('clock'),
        node: settings.node,
        isAble: () => mayRelay(find<StoreView>('view'), find<RightToGrant>('right')),
      }),
    }),
  });

  kernel.register<RangeController>({
    name: 'ranges',
    needs: [
      'succession',
      'clock', 'store', 'view', 'fleet', 'registry', 'ledger', 'right', 'own-entry', 'logger',
      'contracts', 'collector', 'metrics', 'rules', 'recovery',
    ],
    start: (find) => ({
      service: createRangeController({
        clock: find<Clock>('clock'),
        node: settings.node,
        store: find<LeasedStore>('store'),
        view: find<StoreView>('view'),
        fleet: find<FleetView>('fleet'),
        registry: find<InstanceRegistry>('registry'),
        grantTracker: find<GrantTracker>('ledger'),
        grantableMs: () => grantableMs(
          find<RightToGrant>('right'),
          find<NodeRegistration>('own-entry'),
          find<StoreView>('view'),
        ),
        recovery: find<EraRecovery>('recovery'),
        logger: find<Logger>('logger'),
        isKeyed: find<ContractSource>('contracts').isKeyed,
        keyedServices: find<ContractSource>('contracts').keyedServices,
        namesService: find<ContractSource>('contracts').namesService,
        loadSnapshotOf: find<LoadCollector>('collector').loadSnapshotOf,
        maxHoldMs: settings.bounds.maxHoldMs,
        rightMs: RIGHT_TO_GRANT_MS,
        firstAssignmentMs: settings.isFirstStart ? FIRST_ASSIGNMENT_MS : 0,
        rules: find<EvacuationRules>('rules'),
        isPlannerOf: find<PlannerSuccession>('succession').isPlanner,
        onRowsChanged: (rows, reason) => find<NodeMetrics>('metrics').recordRows(reason, rows),
      }),
    }),
  });

  kernel.register<LoadCollector>({
    name: 'collector',
    needs: [
      'clock', 'logger', 'key-load', 'ledger', 'queue', 'cold-instance', 'cold-start-limit',
    ],
    start: (find) => ({
      service: createLoadCollector({
        clock: find<Clock>('clock'),
        node: settings.node,
        load: find<KeyLoad>('key-load'),
        logger: find<Logger>('logger'),
        ownRanges: find<GrantTracker>('ledger').ranges,
        ownCapacity: () => find<SlotQueue>('queue').load().serviceRate,
        ownCapacityLimit: () => (
          find<ColdInstance>('cold-instance').isAnnouncedCold()
            ? find<ColdStartLimit>('cold-start-limit').capRate(0)
            : undefined
        ),
        ownWork: find<SlotQueue>('queue').recentWork,
      }),
    }),
  });
};

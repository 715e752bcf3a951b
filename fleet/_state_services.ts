import type { Clock } from '../clock/mod.ts';
import {
  createFleetView, createNodeRegistration, createStoreView, createViewHistory, type FleetView,
  type NodeEntry, KEY_PREFIX, type NodeRegistration, type StoreView, type ViewHistory,
} from '../directory/mod.ts';
import { createInstanceClient, type SlotQueue } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import {
  CONTRACT_KEY, createPlatformStore, platformHeaders, type PlatformSettings,
} from '../platform/mod.ts';
import {
  createGrantTracker, createKeyLoad, createRightToGrant, type GrantTracker, type KeyLoad,
  RIGHT_TO_GRANT_MS,
  type RightToGrant,
} from '../ranges/mod.ts';
import { type LeasedStore, abortStaleWatches } from '../store/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';
import { fetchPeerChanges } from './changes_message.ts';
import { type ContractSource, createContractSource } from './contract_source.ts';
import { createInstanceRegistry, type InstanceRegistry } from './instance_registry.ts';
import { createLoadCollector, type LoadCollector } from './load_collector.ts';
import { isConnectionRefused } from './_is_connection_refused.ts';
import { createRangeController, grantableMs, type RangeController } from './range_controller.ts';
import { createRelayedChanges } from './relayed_changes.ts';

/** This node as it describes itself in the directory. */
export interface LocalNode {
  readonly entry: () => NodeEntry;
  readonly setStopping: () => void;
  readonly isStopping: () => boolean;
}

/** The platform charges for a watch when it returns, and a contract seldom changes. */
const CONTRACT_WAIT_MS = 8000;
const CONTRACT_PAUSE_MS = 30;
/** At the first start of a fleet, instances announce themselves within some seconds. */
const FIRST_ASSIGNMENT_MS = 4500;
/** Connections in addition to one per slot, to replace those that are closing. */
const SPARE_CONNECTIONS = 4;

const runUntilStop = (
  run: (signal: AbortSignal) => Promise<void>,
  logger: Logger,
  part: string,
) => {
  const stopping = new AbortController();
  const done = run(stopping.signal).catch((error: unknown) => {
    logger.error({ part, reason: String(error) }, 'a background task failed');
  });
  return () => {
    stopping.abort();
    return done;
  };
};

/** Registers the services that hold state: the store, its views, the instance and its ranges. */
export const registerStateServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<LeasedStore>({
    name: 'store',
    needs: ['metrics', 'logger'],
    start: (find) => {
      const metrics = find<NodeMetrics>('metrics');
      const logger = find<Logger>('logger').forComponent('store');
      const store = createPlatformStore({
        address: settings.store.address, countCall: metrics.recordStoreCall,
      });
      const service = abortStaleWatches(store, {
        onAbort: (watches) => logger.info({ watches }, 'restarting watches after an outage'),
      });
      return { service, stop: store.close };
    },
  });

  kernel.register<ViewHistory>({
    name: 'view-history',
    needs: ['clock'],
    start: (find) => ({ service: createViewHistory(find<Clock>('clock')) }),
  });

  kernel.register<StoreView>({
    name: 'view',
    needs: ['clock', 'store', 'logger', 'view-history'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const logger = find<Logger>('logger');
      const store = find<LeasedStore>('store');
      const watch = createRelayedChanges({
        clock,
        node: settings.node,
        failureDomain: settings.failureDomain,
        // The fleet view depends on this view, so it starts later.
        entries: () => (
          kernel.isRunning('fleet') ? find<FleetView>('fleet').present().values() : []
        ),
        direct: store.watch,
        fetchChanges: fetchPeerChanges,
        logger,
      });
      const view = createStoreView({
        clock, store, prefix: KEY_PREFIX, logger, watch, history: find<ViewHistory>('view-history'),
      });
      return { service: view, stop: runUntilStop(view.follow, logger, 'view') };
    },
  });

  kernel.register<ContractSource>({
    name: 'contracts',
    needs: ['clock', 'store', 'logger'],
    start: (find) => {
      const logger = find<Logger>('logger');
      const view = createStoreView({
        clock: find<Clock>('clock'),
        store: find<LeasedStore>('store'),
        prefix: CONTRACT_KEY,
        logger,
        waitMs: CONTRACT_WAIT_MS,
        pauseMs: CONTRACT_PAUSE_MS,
      });
      const service = createContractSource(view, logger);
      return { service, stop: runUntilStop(view.follow, logger, 'contracts') };
    },
  });

  kernel.register<FleetView>({
    name: 'fleet',
    needs: ['clock', 'view', 'logger'],
    start: (find) => {
      const logger = find<Logger>('logger').forComponent('directory');
      return {
        service: createFleetView({
          clock: find<Clock>('clock'),
          view: find<StoreView>('view'),
          onUnreadable: (key) => logger.warn({ key }, 'failed to decode a directory entry'),
        }),
      };
    },
  });

  kernel.register<RightToGrant>({
    name: 'right',
    needs: ['clock'],
    start: (find) => ({
      service: createRightToGrant(find<Clock>('clock'), RIGHT_TO_GRANT_MS),
    }),
  });

  kernel.register<InstanceRegistry>({
    name: 'registry',
    needs: ['clock', 'logger', 'contracts'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const registry = createInstanceRegistry({
        clock,
        node: settings.node,
        logger: find<Logger>('logger'),
        instanceAddress: settings.instanceAddress,
        announceIntervalMs: settings.announceIntervalMs,
        drainMs: settings.bounds.drainMs,
        isConnectionRefused,
        openPort: (announcement, onConnectionRefused) => createInstanceClient({
          clock,
          address: announcement.address,
          instance: announcement.instance,
          connections: announcement.slots + SPARE_CONNECTIONS,
          headers: platformHeaders,
          onConnectionRefused,
        }),
      });
      return { service: registry };
    },
  });

  kernel.register<LocalNode>({
    name: 'self',
    needs: ['clock', 'registry'],
    start: (find) => {
      const registry = find<InstanceRegistry>('registry');
      const startedAt = find<Clock>('clock').wallTime();
      let isStopping = false;
      return {
        service: {
          entry: () => ({
            node: settings.node,
            startedAt,
            peerAddress: settings.listen.peer,
            region: settings.region,
            failureDomain: settings.failureDomain,
            isStopping,
            instance: registry.describe(),
          }),
          setStopping: () => {
            isStopping = true;
          },
          isStopping: () => isStopping,
        },
      };
    },
  });

  kernel.register<NodeRegistration>({
    name: 'own-entry',
    needs: ['clock', 'store', 'logger', 'right', 'self', 'view', 'registry'],
    start: (find) => {
      const logger = find<Logger>('logger');
      const localNode = find<LocalNode>('self');
      const own = createNodeRegistration({
        clock: find<Clock>('clock'),
        store: find<LeasedStore>('store'),
        logger,
        right: find<RightToGrant>('right'),
        entry: localNode.entry(),
        onWritten: find<StoreView>('view').apply,
      });
      find<InstanceRegistry>('registry').onChange(() => own.update(localNode.entry()));
      return { service: own, stop: runUntilStop(own.run, logger, 'own entry') };
    },
  });

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

  kernel.register<RangeController>({
    name: 'ranges',
    needs: [
      'clock', 'store', 'view', 'fleet', 'registry', 'ledger', 'right', 'own-entry', 'logger',
      'contracts', 'collector', 'metrics',
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
        logger: find<Logger>('logger'),
        isKeyed: find<ContractSource>('contracts').isKeyed,
        keyedServices: find<ContractSource>('contracts').keyedServices,
        loadSnapshotOf: find<LoadCollector>('collector').loadSnapshotOf,
        maxHoldMs: settings.bounds.maxHoldMs,
        rightMs: RIGHT_TO_GRANT_MS,
        firstAssignmentMs: settings.isFirstStart ? FIRST_ASSIGNMENT_MS : 0,
        onRowsChanged: (rows, reason) => find<NodeMetrics>('metrics').recordRows(reason, rows),
      }),
    }),
  });

  kernel.register<LoadCollector>({
    name: 'collector',
    needs: ['clock', 'logger', 'key-load', 'ledger', 'queue'],
    start: (find) => ({
      service: createLoadCollector({
        clock: find<Clock>('clock'),
        node: settings.node,
        load: find<KeyLoad>('key-load'),
        logger: find<Logger>('logger'),
        ownRanges: find<GrantTracker>('ledger').ranges,
        ownCapacity: () => find<SlotQueue>('queue').load().serviceRate,
        ownWork: find<SlotQueue>('queue').recentWork,
      }),
    }),
  });
};

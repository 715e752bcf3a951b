import type { Clock } from '../clock/mod.ts';
import {
  createDepartureLog, createFleetView, createNodeRegistration, createStoreView, createViewHistory,
  type Evacuations, type FleetView, KEY_PREFIX, MAX_ENTRY_LENGTH, type NodeEntry,
  type NodeRegistration, RANGES_PREFIX, type StoreView, type ViewHistory,
} from '../directory/mod.ts';
import type { ResponseSilence, ShutdownTracker } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import { createPlatformStore, type PlatformSettings } from '../platform/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import {
  abortStaleWatches, followEras, type LeasedStore, type StoreEras,
} from '../store/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';
import { fetchPeerChanges } from './changes_message.ts';
import { type ContractSource, createContractSource } from './contract_source.ts';
import { trackColdStarts } from './_cold_registry.ts';
import type { ColdInstance } from './cold_instance.ts';
import { createPortOpener } from './_instance_connections.ts';
import { createInstanceRegistry, type InstanceRegistry } from './instance_registry.ts';
import { isSettling } from './_era_services.ts';
import type { EraRecovery } from './era_recovery.ts';
import { isConnectionRefused } from './_is_connection_refused.ts';
import {
  createRelayActivity, createRelayAnswers, createRelayedChanges, type RelayActivity,
  type RelayAnswers,
} from './relayed_changes.ts';
import { runUntilStop } from './run_until_stop.ts';
import { createStoreCallSummary } from './store_call_summary.ts';

/** This node as it describes itself in the directory. */
export interface LocalNode {
  readonly entry: () => NodeEntry;
  readonly setStopping: () => void;
  /** Notes the time of a signal to stop in ms since the Unix epoch; the latest one counts. */
  readonly noteSignal: (at: number) => void;
  readonly isStopping: () => boolean;
}

/**
 * Delay in ms between two watches of the entries and records. A relay collects more changes, since
 * each costs a call and is sent to, and decoded by, tens of nodes.
 */
const VIEW_PAUSE_MS = 100;
const RELAY_PAUSE_MS = 250;

/** Time in ms after the grace time of a stop for which its rules hold on the host. */
const AFTER_GRACE_MS = 1000;
/** Time in ms that a request which is sent at the end of these takes to arrive with its body. */
const ARRIVAL_MS = 500;

/** Registers the services that hold state: the store, its views, the instance and its ranges. */
export const registerStateServices = (
  kernel: Kernel,
  settings: PlatformSettings,
  callerService: () => string,
) => {
  kernel.register<LeasedStore>({
    name: 'store',
    needs: ['clock', 'metrics', 'logger', 'eras'],
    start: (find) => {
      const metrics = find<NodeMetrics>('metrics');
      const logger = find<Logger>('logger').forComponent('store');
      const summary = createStoreCallSummary(find<Clock>('clock'), logger);
      const store = createPlatformStore({
        address: settings.store.address,
        countCall: (call, outcome) => {
          metrics.recordStoreCall(call, outcome);
          summary.record(call, outcome);
        },
      });
      const service = abortStaleWatches(followEras(store, find<StoreEras>('eras')), {
        onAbort: (watches) => logger.info({ watches }, 'restarting watches after an outage'),
      });
      const stop = () => {
        summary.stop();
        return store.close();
      };
      return { service, stop };
    },
  });

  kernel.register<ViewHistory>({
    name: 'view-history',
    needs: ['clock'],
    start: (find) => ({ service: createViewHistory(find<Clock>('clock')) }),
  });

  kernel.register<RelayActivity>({
    name: 'relay-activity',
    needs: ['clock'],
    start: (find) => ({ service: createRelayActivity(find<Clock>('clock')) }),
  });

  kernel.register<RelayAnswers>({
    name: 'relay-answers',
    needs: ['clock'],
    start: (find) => ({ service: createRelayAnswers(find<Clock>('clock')) }),
  });

  kernel.register<StoreView>({
    name: 'view',
    needs: ['clock', 'store', 'eras', 'logger', 'view-history', 'relay-activity', 'relay-answers'],
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
        isAsked: find<RelayActivity>('relay-activity').isAsked,
        isStoreRestored: () => isSettling(find<StoreEras>('eras'), clock),
        onNoRelay: () => {
          find<RelayAnswers>('relay-answers').clear();
          if (kernel.isRunning('contracts')) find<ContractSource>('contracts').restartWatch();
        },
        onOperatorRevision: (revision, evacuated) => {
          find<RelayAnswers>('relay-answers').record();
          // The contracts start later than this view.
          if (!kernel.isRunning('contracts')) return;
          if (evacuated !== undefined) {
            find<Evacuations>('evacuations').noteRelayed(revision, evacuated);
          }
          find<ContractSource>('contracts').noteStoredRevision(revision);
        },
        logger,
      });
      const view = createStoreView({
        clock,
        store,
        prefix: KEY_PREFIX,
        logger,
        watch,
        era: find<StoreEras>('eras').current,
        history: find<ViewHistory>('view-history'),
        pauseMs: () => (
          find<RelayActivity>('relay-activity').isAsked() ? RELAY_PAUSE_MS : VIEW_PAUSE_MS
        ),
        maxValueLength: (key) => (key.startsWith(RANGES_PREFIX) ? Infinity : MAX_ENTRY_LENGTH),
      });
      find<StoreEras>('eras').onRise(view.restartWatch);
      return { service: view, stop: runUntilStop(view.follow, { clock, logger, part: 'view' }) };
    },
  });

  kernel.register<ContractSource>({
    name: 'contracts',
    // The view is followed from here on, so the evacuations must listen to it before.
    needs: ['clock', 'logger', 'operator-view', 'evacuations', 'view-history'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const logger = find<Logger>('logger');
      const view = find<StoreView>('operator-view');
      const service = createContractSource(view, logger);
      // Nodes that rely on this one learn of the change at once, not with its next entry.
      view.onChange(() => find<ViewHistory>('view-history').wake());
      return { service, stop: runUntilStop(view.follow, { clock, logger, part: 'contracts' }) };
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

  kernel.register<InstanceRegistry>({
    name: 'registry',
    needs: [
      'clock', 'store', 'eras', 'logger', 'contracts', 'cold-instance', 'response-silence',
      'metrics',
    ],
    start: (find) => {
      const clock = find<Clock>('clock');
      const logger = find<Logger>('logger');
      const cold = find<ColdInstance>('cold-instance');
      const silence = find<ResponseSilence>('response-silence');
      const departureLog = createDepartureLog({
        clock,
        store: find<LeasedStore>('store'),
        node: settings.node,
        logger,
        eras: find<StoreEras>('eras'),
        onRewrite: () => find<NodeMetrics>('metrics').recordRewrite('departures'),
      });
      const { namesService, longestTimeoutMs } = find<ContractSource>('contracts');
      const registry = trackColdStarts(clock, createInstanceRegistry({
        clock,
        node: settings.node,
        logger,
        departureLog,
        instanceAddress: settings.instanceAddress,
        announceIntervalMs: settings.announceIntervalMs,
        drainMs: settings.bounds.drainMs,
        isKnownService: (service) => service === callerService() || namesService(service),
        isConnectionRefused,
        longestWorkMs: longestTimeoutMs,
        openPort: createPortOpener(clock, cold, silence),
      }), cold);
      return {
        service: { ...registry, slots: () => silence.acceptedSlots(registry.slots()) },
        stop: runUntilStop(departureLog.run, { clock, logger, part: 'departures' }),
      };
    },
  });

  kernel.register<LocalNode>({
    name: 'self',
    needs: ['clock', 'registry'],
    start: (find) => {
      const registry = find<InstanceRegistry>('registry');
      const startedAt = find<Clock>('clock').wallTime();
      let isStopping = false;
      let signalledAt: number | undefined;
      return {
        service: {
          entry: () => ({
            node: settings.node,
            startedAt,
            peerAddress: settings.listen.peer,
            region: settings.region,
            failureDomain: settings.failureDomain,
            isStopping,
            signalledAt,
            instance: registry.describe(),
            // The recovery starts later; the era has not risen before.
            storeEra: kernel.isRunning('recovery')
              ? find<EraRecovery>('recovery').declaration()
              : undefined,
          }),
          setStopping: () => {
            isStopping = true;
          },
          noteSignal: (at) => {
            signalledAt = Math.max(signalledAt ?? at, at);
          },
          isStopping: () => isStopping,
        },
      };
    },
  });

  kernel.register<NodeRegistration>({
    name: 'own-entry',
    needs: ['clock', 'store', 'eras', 'logger', 'right', 'self', 'view', 'registry', 'progress'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const logger = find<Logger>('logger');
      const localNode = find<LocalNode>('self');
      const { followStop } = find<ShutdownTracker>('progress');
      const startedAt = clock.now();
      const stopMs = settings.bounds.graceMs + AFTER_GRACE_MS + ARRIVAL_MS;
      let earlierStopEndsAt = -Infinity;
      // Until the former entry is known; the first start of all hosts follows no stop.
      if (!settings.isFirstStart) followStop(startedAt + stopMs);
      const own = createNodeRegistration({
        clock,
        store: find<LeasedStore>('store'),
        logger,
        right: find<RightToGrant>('right'),
        eras: find<StoreEras>('eras'),
        entry: localNode.entry(),
        view: find<StoreView>('view'),
        onFirstWrite: () => followStop(earlierStopEndsAt),
        onFormerEntry: ({ instance, signalledAt }) => {
          const leftMs = (signalledAt ?? -Infinity) + stopMs - clock.wallTime();
          if (signalledAt !== undefined && leftMs > 0) {
            // The time of day may have been set since.
            earlierStopEndsAt = Math.min(clock.now() + leftMs, startedAt + stopMs);
            localNode.noteSignal(signalledAt);
            own.update(localNode.entry());
          }
          if (instance !== undefined) find<InstanceRegistry>('registry').restore(instance);
        },
      });
      find<InstanceRegistry>('registry').onChange(() => own.update(localNode.entry()));
      return { service: own, stop: runUntilStop(own.run, { clock, logger, part: 'own entry' }) };
    },
  });
};

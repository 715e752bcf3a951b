import type { Clock } from '../clock/mod.ts';
import type {
  Evacuations, FleetView, NodeRegistration, StoreView,
} from '../directory/mod.ts';
import type { LocalForwarder, ResponseSilence, ShutdownTracker } from '../gateway/mod.ts';
import { type HttpListener, splitAddress } from '../http/mod.ts';
import { createKernel, type Kernel } from '../kernel/mod.ts';
import { createEndOwner, type EndOwner, type StopRequest } from '../lifecycle/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import type { Announcement, RightToGrant } from '../ranges/mod.ts';
import type { StoreEras } from '../store/mod.ts';
import {
  createEventLoopMonitor, createNodeMetrics, type EventLoopMonitor, type HeapGuard, type Logger,
  type NodeMetrics, readProcessUsage,
} from '../telemetry/mod.ts';
import { registerColdServices } from './_cold_services.ts';
import { registerResponseSilence } from './_instance_connections.ts';
import type { ColdInstance } from './cold_instance.ts';
import type { ContractSource } from './contract_source.ts';
import { createControlListeners } from './control_listeners.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import type { LoadCollector } from './load_collector.ts';
import type { RangeController } from './range_controller.ts';
import type { RelayActivity } from './relayed_changes.ts';
import { bindListeners } from './_bind_listeners.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';
import { registerEraServices } from './_era_services.ts';
import { registerKeyServices } from './_key_services.ts';
import { registerListenerServices } from './_listener_services.ts';
import { registerOperatorServices } from './_operator_services.ts';
import { registerAdmissionServices } from './_admission_services.ts';
import { registerRequestServices } from './_request_services.ts';
import { registerStateServices, type LocalNode } from './_state_services.ts';
import { createStopFallback } from './_stop_fallback.ts';

/** A running node on the platform. */
export interface FleetNode {
  /** Applies changed settings: the service of the callers changes, the addresses do not. */
  readonly reload: (settings: PlatformSettings) => void;
  /**
   * Stops gracefully: finishes the requests in flight within the grace time, which began at the
   * cause of the stop. By default, the stop is planned and its cause is now.
   */
  readonly stop: (request?: StopRequest) => Promise<void>;
  /** Stops immediately, as a crash of the process would. */
  readonly kill: () => Promise<void>;
}

/** Options for {@link startFleetNode}. */
export interface FleetNodeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Owner of the ends of connections and of the process; by default, one that ends no process. */
  readonly ends?: EndOwner;
  /** Port of the metrics endpoint, on the host of the readiness address. */
  readonly metricsPort: number;
}

const RECONCILE_INTERVAL_MS = 200;
const COLLECT_INTERVAL_MS = 1000;
const PROBE_INTERVAL_MS = 250;
/**
 * Interval at which a relay brings its view up to date, which shows all nodes that rely on it that
 * their entries exist. It is shorter than their wait for changes.
 */
const RELAY_REFRESH_INTERVAL_MS = 1000;

/** Runs a task at an interval; a failure is logged and does not stop later runs. */
const runPeriodically = (
  intervalMs: number,
  name: string,
  logger: Logger,
  task: () => Promise<void>,
) => {
  const timer = setInterval(() => {
    task().catch((error: unknown) => {
      logger.error({ task: name, reason: String(error) }, 'a periodic task failed');
    });
  }, intervalMs);
  return () => clearInterval(timer);
};

const startPeriodicTasks = (kernel: Kernel, logger: Logger) => {
  const ranges = kernel.find<RangeController>('ranges');
  const registry = kernel.find<InstanceRegistry>('registry');
  const fleet = kernel.find<FleetView>('fleet');
  const collector = kernel.find<LoadCollector>('collector');
  const view = kernel.find<StoreView>('view');
  const activity = kernel.find<RelayActivity>('relay-activity');
  const reconcile = () => {
    ranges.reconcile().catch((error: unknown) => {
      logger.error({ reason: String(error) }, 'failed to reconcile the range records');
    });
  };
  registry.onChange(reconcile);
  fleet.onChange(reconcile);
  const collect = async () => {
    const service = registry.local()?.service;
    if (service === undefined || !ranges.isPlanner()) return;
    const owners = [...fleet.present().values()].flatMap((entry) => (
      entry.instance?.service === service ? [{
        owner: {
          node: entry.node,
          instance: entry.instance.instance,
          startedAt: entry.instance.startedAt,
        },
        address: entry.peerAddress,
      }] : []
    ));
    await collector.collect(owners);
  };
  // The first owner outside an evacuated domain may have become the planner, without any reports.
  kernel.find<Evacuations>('evacuations').onChange(() => {
    collect().catch((error: unknown) => {
      logger.error({ reason: String(error) }, 'failed to collect the loads of the owners');
    }).finally(reconcile);
  });
  const stops = [
    runPeriodically(RECONCILE_INTERVAL_MS, 'reconcile', logger, ranges.reconcile),
    runPeriodically(COLLECT_INTERVAL_MS, 'collect', logger, collect),
    runPeriodically(PROBE_INTERVAL_MS, 'check', logger, registry.probe),
    runPeriodically(RELAY_REFRESH_INTERVAL_MS, 'relay', logger, async () => {
      if (view.isConnected() && activity.isAsked()) await view.refresh();
    }),
  ];
  return {
    reconcile,
    stop: () => {
      for (const stop of stops) stop();
    },
  };
};

const registerGauges = (kernel: Kernel) => {
  const metrics = kernel.find<NodeMetrics>('metrics');
  const local = kernel.find<LocalForwarder>('local');
  const cold = kernel.find<ColdInstance>('cold-instance');
  const right = kernel.find<RightToGrant>('right');
  const contracts = kernel.find<ContractSource>('contracts');
  const view = kernel.find<StoreView>('view');
  const fleet = kernel.find<FleetView>('fleet');
  metrics.observe('in_flight', 'Requests that the instance runs', () => local.load().inFlight);
  const registry = kernel.find<InstanceRegistry>('registry');
  const silence = kernel.find<ResponseSilence>('response-silence');
  metrics.observe('accepted_slots', 'Slots that the instance accepts', registry.slots);
  metrics.observe('silent_responses', 'Connections found silent', silence.silentCount);
  const isCold = () => Number(cold.isCold());
  metrics.observe('instance_cold', '1 while the instance is not known to be warm', isCold);
  metrics.observe('queued', 'Requests that wait for the local instance', () => local.load().queued);
  metrics.observe('right_to_grant_ms', 'Time for which holds may be given', right.remainingMs);
  const revision = () => contracts.routes()?.revision ?? 0;
  metrics.observe('contract_revision', 'Contract in force', revision);
  metrics.observe('store_connected', '1 while the store answers', () => Number(view.isConnected()));
  const eventLoop = kernel.find<EventLoopMonitor>('event-loop');
  metrics.observe('event_loop_utilization', 'Busy part of the event loop', eventLoop.utilization);
  metrics.observe('event_loop_delay_ms', 'Longest wait for the event loop', eventLoop.maxDelayMs);
  const heap = kernel.find<HeapGuard>('heap');
  metrics.observe('heap_used_fraction', 'Used part of the old generation', heap.usedFraction);
  const isRefusing = () => Number(heap.isRefusing());
  metrics.observe('heap_refusing', '1 while requests are refused for the heap', isRefusing);
  const eras = kernel.find<StoreEras>('eras');
  metrics.observe('store_era', 'Newest era of the store, 0 if it has none', eras.current);
  metrics.observe('store_era_rises', 'Restores of the store since the start', eras.rises);
  metrics.observe('fleet_nodes', 'Nodes in the directory', () => fleet.present().size);
  const evacuations = kernel.find<Evacuations>('evacuations');
  metrics.observe('evacuated_domains', 'Evacuated failure domains', evacuations.count);
  metrics.observe('unusable_entries', 'Directory entries of no use', fleet.unusableCount);
};

/**
 * Starts a node on the platform.
 *
 * @param settings Validated settings.
 * @param options Clock, logger and metrics port.
 * @returns The node, once all listeners are bound or the node is to stop.
 * @throws {Error} when an address cannot be bound.
 *
 * @example
 * const node = await startFleetNode(settings, { clock, logger, metricsPort: 9464 });
 * await node.stop();
 */
export const startFleetNode = async (
  settings: PlatformSettings,
  options: FleetNodeOptions,
): Promise<FleetNode> => {
  const { clock, logger } = options;
  const ends = options.ends ?? createEndOwner({ clock, logger, exit: () => undefined });
  let { service: callerService } = settings;
  const kernel = createKernel();
  kernel.register<Clock>({ name: 'clock', needs: [], start: () => ({ service: clock }) });
  kernel.register<Logger>({ name: 'logger', needs: [], start: () => ({ service: logger }) });
  kernel.register<EndOwner>({ name: 'ends', needs: [], start: () => ({ service: ends }) });
  kernel.register<NodeMetrics>({
    name: 'metrics', needs: [], start: () => ({ service: createNodeMetrics() }),
  });
  kernel.register<EventLoopMonitor>({
    name: 'event-loop',
    needs: [],
    start: () => ({
      service: createEventLoopMonitor({ clock, logger, usage: readProcessUsage }),
    }),
  });
  registerListenerServices(kernel, settings);
  registerAdmissionServices(kernel);
  registerRequestServices(kernel, settings, () => callerService);
  registerEraServices(kernel, settings);
  registerStateServices(kernel, settings, () => callerService);
  registerOperatorServices(kernel, settings);
  registerKeyServices(kernel, settings);
  registerColdServices(kernel, settings);
  registerResponseSilence(kernel);
  await kernel.start();

  const localNode = kernel.find<LocalNode>('self');
  const registry = kernel.find<InstanceRegistry>('registry');
  const ranges = kernel.find<RangeController>('ranges');
  const contracts = kernel.find<ContractSource>('contracts');
  const view = kernel.find<StoreView>('view');
  const callers = kernel.find<HttpListener>('caller-listener');
  const peers = kernel.find<HttpListener>('peer-listener');
  ends.onOpenEnd(kernel.find<NodeMetrics>('metrics').recordOpenEnd);
  const tasks = startPeriodicTasks(kernel, logger);
  registerGauges(kernel);

  const announce = async (announcement: Announcement) => {
    const isUsed = registry.announce(announcement);
    const answer = isUsed ? ranges.answer(announcement) : undefined;
    if (isUsed) tasks.reconcile();
    await registry.departuresStored();
    return answer;
  };
  const leave = (instance: string, startedAt?: number) => {
    registry.leave(instance, startedAt);
    return registry.departuresStored();
  };

  const { host } = splitAddress(settings.listen.readiness);
  const controlListeners = createControlListeners({
    clock,
    addresses: {
      readiness: settings.listen.readiness,
      announcements: settings.listen.announcements,
      metrics: `${host}:${options.metricsPort}`,
    },
    logger,
    isReady: () => (
      callers.isListening() && contracts.routes() !== undefined && view.isLoaded()
      && !localNode.isStopping()
    ),
    announce,
    leave,
    metricsText: kernel.find<NodeMetrics>('metrics').text,
  });
  const shutdown = kernel.find<ShutdownTracker>('progress');
  const { update } = kernel.find<NodeRegistration>('own-entry');
  const stop = createGracefulStop({
    clock,
    graceMs: settings.bounds.graceMs,
    shutdown,
    ends,
    listeners: [callers, peers],
    mayHaveCallers: callers.isListening,
    announceStop: () => {
      localNode.setStopping();
      update(localNode.entry());
    },
    onSignal: (sinceMs) => {
      localNode.noteSignal(clock.wallTime() - sinceMs);
      update(localNode.entry());
    },
    recentDelayMs: kernel.find<EventLoopMonitor>('event-loop').maxDelayMs,
    logger,
  });
  const stopNode = (request: StopRequest) => stop(request).finally(tasks.stop);
  ends.setStop(stopNode, createStopFallback({
    clock, graceMs: settings.bounds.graceMs, shutdown, ends, listeners: [callers, peers], logger,
  }));
  // Callers come last: a port that cannot be bound ends the start before one of them is accepted.
  const isStopping = () => shutdown.phase() !== 'running';
  if (await bindListeners([...controlListeners, peers, callers], isStopping)) {
    logger.info({ listen: settings.listen, bounds: settings.bounds }, 'started');
  } else logger.info({}, 'the start ends, as the node is to stop');

  return {
    reload: (changed) => {
      if (changed.service !== callerService) {
        logger.info({ from: callerService, to: changed.service }, 'the service changed');
      }
      callerService = changed.service;
      logger.info({ service: callerService }, 'reloaded the settings');
    },
    stop: (request = { sinceMs: 0, isPlanned: true }) => stopNode(request),
    kill: async () => {
      tasks.stop();
      for (const listener of [...controlListeners, callers, peers]) listener.kill();
      await kernel.stop();
    },
  };
};

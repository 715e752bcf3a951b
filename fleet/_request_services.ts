import type {
  CallDetector, CallFailures, ColdStartLimit, EntranceGate,
} from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createFleetMembership, type FleetView } from '../directory/mod.ts';
import {
  type BodyBudget, createCallerListener, createDemandMeter, createLocalForwarder, createPeerClient,
  createPeerListener, createRequestSender, createServiceRetryBudget, createSlotQueue,
  createTargetChooser, type DispatchQueue, type LocalForwarder, type PeerClient,
  type RequestSender, type ResponseSilence, type ShutdownTracker, type SlotQueue,
  type TargetChooser,
} from '../gateway/mod.ts';
import type { EgressLink, HttpListener } from '../http/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import { platformHeaders, type PlatformSettings } from '../platform/mod.ts';
import type { GrantTracker, KeyLoad } from '../ranges/mod.ts';
import { createServiceView, type ServiceView } from '../routing/mod.ts';
import type {
  EventLoopMonitor, HeapGuard, Logger, NodeMetrics,
} from '../telemetry/mod.ts';
import type { ContractSource } from './contract_source.ts';
import { createControlMessageHandler } from './_control_messages.ts';
import type { EvacuationRules } from './evacuation_rules.ts';
import { createFailureDomainLookup } from './_failure_domains.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import type { RangeController } from './range_controller.ts';
import { type DomainTraffic, registerDomainTraffic } from './_domain_traffic.ts';
import { registerServiceViews } from './_service_views.ts';
import type { LocalNode } from './_state_services.ts';

/** Time in ms from the arrival of an announcement until its grants take effect. */
const GRANT_DELAY_MS = 30;
const MIN_KEY_RETRY_AFTER_MS = 50;
/**
 * Lets half of the requests try another node after a refusal, since a budget uses a quarter of
 * its ratio. This covers load differences between nodes without doubling the load when all nodes
 * are saturated.
 */
const SEARCH_RATIO = 2;
/** Additional attempts per window beyond the ratio, for services with few requests. */
const SEARCH_EXTRA = 40;

/**
 * Registers the services that requests pass through: slots, routing, peers and listeners, which do
 * not listen yet.
 */
export const registerRequestServices = (
  kernel: Kernel,
  settings: PlatformSettings,
  callerService: () => string,
) => {
  kernel.register<SlotQueue>({
    name: 'queue',
    needs: ['clock', 'registry', 'metrics'],
    start: (find) => {
      const registry = find<InstanceRegistry>('registry');
      return {
        service: createSlotQueue({
          clock: find<Clock>('clock'),
          slots: registry.slots,
          instance: () => registry.local()?.instance ?? '',
          onRefused: find<NodeMetrics>('metrics').recordSlotRefusal,
        }),
      };
    },
  });

  kernel.register<LocalForwarder>({
    name: 'local',
    needs: [
      'link', 'clock', 'registry', 'queue', 'ledger', 'key-load', 'metrics', 'rules',
      'cold-start-limit', 'response-silence', 'call-detector', 'call-failures',
    ],
    start: (find) => {
      const registry = find<InstanceRegistry>('registry');
      const untilNextGrantMs = () => (
        settings.announceIntervalMs - registry.silentMs() + GRANT_DELAY_MS
      );
      return {
        service: createLocalForwarder({
          clock: find<Clock>('clock'),
          instance: registry.local,
          keys: {
            mayServe: find<GrantTracker>('ledger').mayServe,
            retryAfterMs: () => Math.max(MIN_KEY_RETRY_AFTER_MS, untilNextGrantMs()),
            record: find<KeyLoad>('key-load').record,
          },
          queue: find<SlotQueue>('queue'),
          demand: createDemandMeter({ clock: find<Clock>('clock') }),
          coldStart: find<ColdStartLimit>('cold-start-limit'),
          link: find<EgressLink>('link'),
          findObjection: find<EvacuationRules>('rules').findObjection,
          leftWorkMs: find<ResponseSilence>('response-silence').leftWorkMs,
          startRun: find<CallDetector>('call-detector').startRun,
          callFailures: find<CallFailures>('call-failures').fraction,
          onQueued: find<NodeMetrics>('metrics').recordQueueTime,
          onColdRefusal: (when) => find<NodeMetrics>('metrics').recordSlotRefusal(`cold ${when}`),
          onRun: find<NodeMetrics>('metrics').recordRun,
        }),
      };
    },
  });

  registerServiceViews(kernel);
  registerDomainTraffic(kernel, settings);

  kernel.register<PeerClient>({
    name: 'peers',
    needs: ['clock', 'logger', 'service-views', 'fleet', 'domain-traffic'],
    start: (find) => {
      const logger = find<Logger>('logger').forComponent('peer');
      const views = find<Map<string, ServiceView>>('service-views');
      const fleet = find<FleetView>('fleet');
      const peers = createPeerClient({
        clock: find<Clock>('clock'),
        requestIdHeader: platformHeaders.requestId,
        ...find<DomainTraffic>('domain-traffic').peerListeners,
        onSuspect: (address, reason) => {
          logger.warn({ peer: address, reason }, 'a peer is suspected of having failed');
          for (const view of views.values()) view.invalidate();
        },
      });
      fleet.onChange(() => {
        peers.retain(new Map(fleet.usable().map(({ peerAddress, startedAt }) => (
          [peerAddress, startedAt]
        ))));
      });
      return { service: peers, stop: peers.close };
    },
  });

  kernel.register<TargetChooser>({
    name: 'chooser',
    needs: [
      'clock', 'fleet', 'self', 'peers', 'service-views', 'ranges', 'rules', 'domain-traffic',
    ],
    start: (find) => {
      const clock = find<Clock>('clock');
      const fleet = find<FleetView>('fleet');
      const views = find<Map<string, ServiceView>>('service-views');
      const { isSuspect } = find<PeerClient>('peers');
      const rules = find<EvacuationRules>('rules');
      const self = find<LocalNode>('self');
      const isLeaving = (node: string) => (
        node === settings.node ? self.isStopping() : fleet.find(node)?.isStopping === true
      );
      const membership = createFleetMembership({
        clock,
        fleet,
        self: self.entry,
        isSuspect,
        isEvacuated: rules.isEvacuated,
      });
      const viewOf = (service: string) => {
        const known = views.get(service);
        if (known !== undefined) return known;
        const view = createServiceView(service, { clock, membership, isLeaving });
        views.set(service, view);
        return view;
      };
      return {
        service: createTargetChooser({
          self: settings.node,
          random: Math.random,
          viewOf,
          spillover: find<DomainTraffic>('domain-traffic').spillover,
          recordOf: find<RangeController>('ranges').recordOf,
          nodeOf: (node) => {
            const entry = fleet.find(node);
            return entry && {
              node,
              address: entry.peerAddress,
              isSuspect: isSuspect(entry.peerAddress),
              isEvacuated: !rules.mayServeKeys(entry.failureDomain),
            };
          },
        }),
      };
    },
  });

  kernel.register<RequestSender>({
    name: 'attempts',
    needs: ['clock', 'logger', 'chooser', 'local', 'peers', 'fleet', 'metrics', 'entrance-gate'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const fleet = find<FleetView>('fleet');
      const metrics = find<NodeMetrics>('metrics');
      return {
        service: createRequestSender({
          clock,
          chooser: find<TargetChooser>('chooser'),
          local: find<LocalForwarder>('local'),
          peers: find<PeerClient>('peers'),
          retryBudget: createServiceRetryBudget({
            clock,
            ratio: settings.bounds.retryRatio,
            extraRetries: settings.bounds.extraRetries,
            windowMs: settings.bounds.retryWindowMs,
            nodeCount: () => Math.max(1, fleet.usable().length),
          }),
          failoverBudget: createServiceRetryBudget({
            clock,
            ratio: SEARCH_RATIO,
            extraRetries: SEARCH_EXTRA,
            windowMs: settings.bounds.retryWindowMs,
            nodeCount: () => 1,
          }),
          logger: find<Logger>('logger'),
          onLoad: find<EntranceGate>('entrance-gate').recordLoad,
          onRetry: metrics.recordRetry,
          onAttempt: ({ kind, view }, outcome, durationMs) => {
            metrics.recordAttempt(kind, outcome, durationMs);
            if (view?.ageMs !== undefined) metrics.recordLoadAge(view.ageMs);
          },
        }),
      };
    },
  });

  kernel.register<HttpListener>({
    name: 'peer-listener',
    needs: [
      'clock', 'logger', 'local', 'link', 'collector', 'progress', 'view-history', 'view', 'right',
      'event-loop', 'dispatch', 'bodies', 'succession', 'relay-activity', 'contracts', 'fleet',
      'metrics', 'evacuations', 'chooser', 'service-views', 'domain-traffic', 'ends', 'heap',
    ],
    start: (find) => {
      const service = createPeerListener({
        clock: find<Clock>('clock'),
        address: settings.listen.peer,
        requestIdHeader: platformHeaders.requestId,
        dispatch: find<DispatchQueue>('dispatch'),
        bodies: find<BodyBudget>('bodies'),
        heap: find<HeapGuard>('heap'),
        local: find<LocalForwarder>('local'),
        link: find<EgressLink>('link'),
        shutdown: find<ShutdownTracker>('progress'),
        ends: find<EndOwner>('ends'),
        eventLoop: find<EventLoopMonitor>('event-loop'),
        logger: find<Logger>('logger'),
        failureDomainOf: createFailureDomainLookup(find<FleetView>('fleet')),
        onRefusal: find<NodeMetrics>('metrics').recordPeerRefusal,
        handleControlMessage: createControlMessageHandler(find, settings.node),
      });
      return { service, stop: service.stop };
    },
  });

  kernel.register<HttpListener>({
    name: 'caller-listener',
    needs: [
      'clock', 'logger', 'contracts', 'entrance', 'link', 'metrics', 'progress', 'event-loop',
      'dispatch', 'bodies', 'call-detector', 'ends', 'heap',
    ],
    start: (find) => {
      const metrics = find<NodeMetrics>('metrics');
      const service = createCallerListener({
        clock: find<Clock>('clock'),
        address: settings.listen.caller,
        headers: platformHeaders,
        callerService,
        routes: find<ContractSource>('contracts').routes,
        dispatch: find<DispatchQueue>('dispatch'),
        bodies: find<BodyBudget>('bodies'),
        heap: find<HeapGuard>('heap'),
        sender: find<RequestSender>('entrance'),
        link: find<EgressLink>('link'),
        shutdown: find<ShutdownTracker>('progress'),
        ends: find<EndOwner>('ends'),
        eventLoop: find<EventLoopMonitor>('event-loop'),
        callDetector: find<CallDetector>('call-detector'),
        logger: find<Logger>('logger'),
        random: Math.random,
        onRequestEnd: ({
          kind, outcome, reason, unknown, durationMs, origin = 'unsure',
        }) => {
          metrics.recordOrigin(origin);
          metrics.recordRequest(kind, outcome, durationMs);
          if (outcome !== 'refused') return;
          metrics.recordRefusal(reason);
          if (unknown) metrics.recordUnknown(reason, unknown.status, unknown.cause);
        },
      });
      return { service, stop: service.stop };
    },
  });
};

import { createRotatingHistogram } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Placements } from '../placement/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { chooseInstance } from './choose_instance.ts';
import type { SubsetOptions } from './choose_subset.ts';
import { routeByKey, type SlotForKey } from './_route_by_key.ts';
import { createServiceView, type ServiceView } from './_service_view.ts';
import type { Router, RoutingDecision, RoutingRequest } from './router.ts';

/** Options of a router. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly placements: Placements;
  readonly slotOf: SlotForKey;
  readonly logger: Logger;
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number;
  readonly subset?: SubsetOptions;
}

const messageByKind: Readonly<Record<RoutingDecision['kind'], string>> = {
  local: 'routed the request to a local instance',
  peer: 'routed the request to an instance of a peer node',
  wait: 'the request waits for a newer placement record',
  none: 'no instance is available for the request',
};

/**
 * Creates the router of a node. The caller must follow every decision that names an instance with
 * exactly one `report`: the router counts the outstanding requests of each instance by them.
 *
 * @param options Clock, membership, placements, key hash, logger and random source.
 * @returns The router.
 *
 * @example
 * const router = createRouter({ clock, membership, placements, slotOf, logger, random });
 * const decision = router.decide(request);
 */
export const createRouter = (options: RouterOptions): Router => {
  const {
    clock, membership, placements, slotOf,
  } = options;
  const logger = options.logger.forComponent('routing');
  const viewByService = new Map<string, ServiceView>();

  const viewOf = (service: string): ServiceView => {
    let view = viewByService.get(service);
    if (view === undefined) {
      view = createServiceView(service, {
        clock,
        membership,
        subset: options.subset,
        lookupTimes: createRotatingHistogram(clock),
      });
      viewByService.set(service, view);
    }
    return view;
  };

  membership.onChange(() => {
    for (const view of viewByService.values()) view.invalidate();
  });

  const routeByLoad = (request: RoutingRequest): RoutingDecision => {
    const views = viewOf(request.service.name).instanceViews(request.excluded);
    const choice = chooseInstance(views, { random: options.random });
    if (choice === undefined) return { kind: 'none', reason: 'no instance is left', version: 0 };
    const { instance, node, peerAddress } = choice.view;
    const kind = node === membership.self().node ? 'local' : 'peer';
    return {
      kind, instance, node, peerAddress, reason: choice.reason, version: 0,
    };
  };

  const decide: Router['decide'] = (request) => {
    const { service, requestId } = request;
    const decision = service.keyed
      ? routeByKey(request, placements.current(service.name), membership.self().node, slotOf)
      : routeByLoad(request);
    const instance = 'instance' in decision ? decision.instance : undefined;
    if (instance !== undefined) viewOf(service.name).recordSent(instance);
    logger.info(
      {
        request: requestId, service: service.name, instance, reason: decision.reason,
      },
      messageByKind[decision.kind],
    );
    return decision;
  };

  const waitForChange: Router['waitForChange'] = (service, version, timeoutMs, signal) => (
    new Promise((resolve) => {
      const isNewer = () => (placements.current(service)?.version ?? 0) > version;
      if (isNewer() || signal.aborted) {
        resolve(isNewer());
        return;
      }
      const cleanups: (() => void)[] = [];
      const settle = (changed: boolean) => {
        for (const cleanUp of cleanups) cleanUp();
        resolve(changed);
      };
      const onAbort = () => settle(false);
      signal.addEventListener('abort', onAbort, { once: true });
      cleanups.push(
        () => signal.removeEventListener('abort', onAbort),
        clock.schedule(timeoutMs, () => settle(false)),
        placements.onChange((record) => {
          if (record.service === service && record.version > version) settle(true);
        }),
      );
    })
  );

  return {
    decide,
    waitForChange,
    report: (report) => viewOf(report.service).report(report),
    hedgeDelayMs: (service) => viewOf(service).hedgeDelayMs(),
  };
};

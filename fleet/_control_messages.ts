import type { Evacuations, StoreView, ViewHistory } from '../directory/mod.ts';
import type { ShutdownTracker, TargetChooser } from '../gateway/mod.ts';
import type { FindService } from '../kernel/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import type { ServiceView } from '../routing/mod.ts';
import { CHANGES_PATH, serveChanges } from './changes_message.ts';
import type { ContractSource } from './contract_source.ts';
import type { DomainTraffic } from './_domain_traffic.ts';
import { decodeLoadRequest, type LoadCollector } from './load_collector.ts';
import type { PlannerSuccession } from './planner_succession.ts';
import { serveWhere, WHERE_PATH } from './where_message.ts';
import { mayRelay, type RelayActivity } from './relayed_changes.ts';

/**
 * Creates the handler of the control messages from other nodes: requests for a load report and for
 * changes in the store, and questions of operators where a request would go.
 *
 * @param find Finds the services that answer them.
 * @param node Name of this node.
 * @returns The handler; it resolves to undefined for a message that is not answered.
 *
 * @example
 * const text = await createControlMessageHandler(find, 'host-2')('load?from=host-1');
 */
export const createControlMessageHandler = (find: FindService, node: string) => {
  const collector = find<LoadCollector>('collector');
  const succession = find<PlannerSuccession>('succession');
  const activity = find<RelayActivity>('relay-activity');
  const contracts = find<ContractSource>('contracts');
  const { stored: evacuated } = find<Evacuations>('evacuations');
  const history = find<ViewHistory>('view-history');
  const view = find<StoreView>('view');
  const right = find<RightToGrant>('right');
  const chooser = find<TargetChooser>('chooser');
  const views = find<ReadonlyMap<string, ServiceView>>('service-views');
  const { spillover } = find<DomainTraffic>('domain-traffic');
  const { phase } = find<ShutdownTracker>('progress');
  const whereSource = {
    node,
    routes: contracts.routes,
    chooser,
    instanceViews: (service: string) => views.get(service)?.instanceViews(new Set()) ?? [],
    sharesOf: (service: string) => spillover?.sharesOf(service) ?? new Map<string, number>(),
    phase,
  };

  return async (path: string): Promise<string | undefined> => {
    const planner = decodeLoadRequest(path);
    if (planner !== undefined) {
      succession.recordRequest(planner);
      return collector.encodeOwnReport();
    }
    if (path.startsWith(`${WHERE_PATH}?`)) return serveWhere(whereSource, path);
    if (!path.startsWith(`${CHANGES_PATH}?`) || !mayRelay(view, right)) return undefined;
    activity.record();
    return serveChanges({
      history, view, operatorRevision: contracts.storedRevision, evacuated,
    }, path);
  };
};

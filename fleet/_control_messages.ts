import type { Evacuations, StoreView, ViewHistory } from '../directory/mod.ts';
import type { FindService } from '../kernel/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import { CHANGES_PATH, serveChanges } from './changes_message.ts';
import type { ContractSource } from './contract_source.ts';
import { decodeLoadRequest, type LoadCollector } from './load_collector.ts';
import type { PlannerSuccession } from './planner_succession.ts';
import { mayRelay, type RelayActivity } from './relayed_changes.ts';

/**
 * Creates the handler of the control messages from other nodes: requests for a load report, and
 * for changes in the store.
 *
 * @param find Finds the services that answer them.
 * @returns The handler; it resolves to undefined for a message that is not answered.
 *
 * @example
 * const text = await createControlMessageHandler(find)('load?from=host-1');
 */
export const createControlMessageHandler = (find: FindService) => {
  const collector = find<LoadCollector>('collector');
  const succession = find<PlannerSuccession>('succession');
  const activity = find<RelayActivity>('relay-activity');
  const contracts = find<ContractSource>('contracts');
  const { stored: evacuated } = find<Evacuations>('evacuations');
  const history = find<ViewHistory>('view-history');
  const view = find<StoreView>('view');
  const right = find<RightToGrant>('right');

  return async (path: string): Promise<string | undefined> => {
    const planner = decodeLoadRequest(path);
    if (planner !== undefined) {
      succession.recordRequest(planner);
      return collector.encodeOwnReport();
    }
    if (!path.startsWith(`${CHANGES_PATH}?`) || !mayRelay(view, right)) return undefined;
    activity.record();
    return serveChanges({
      history, view, contractRevision: contracts.storedRevision, evacuated,
    }, path);
  };
};

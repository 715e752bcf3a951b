import type { PublishedService } from '../contract/mod.ts';
import { createRouteTable, type RouteTable } from '../gateway/mod.ts';
import type { StoreView } from '../directory/mod.ts';
import { CONTRACT_KEY, decodeContract } from '../platform/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** The newest contract revision that this process has accepted. */
export interface ContractSource {
  /** Current routes; undefined until the first contract has been accepted. */
  readonly routes: () => RouteTable | undefined;
  readonly isKeyed: (service: string) => boolean;
  /** Returns a service that the contract lists. */
  readonly serviceOf: (service: string) => PublishedService | undefined;
  /** Reports whether the contract lists a service, or a route leads to it. */
  readonly namesService: (service: string) => boolean;
  /** Longest timeout in ms of all routes; Infinity before the first contract. */
  readonly longestTimeoutMs: () => number;
  /** Names of the services whose requests are partitioned by key. */
  readonly keyedServices: () => readonly string[];
  /**
   * Store revision of the newest change under the operator's prefix that this process has seen,
   * removals included; 0 before the first one.
   */
  readonly storedRevision: () => number;
  /** Gives up the watch in progress and sends a new one, as its wait may be too long. */
  readonly restartWatch: () => void;
  /** Reads what the operator wrote if a peer has seen a newer change, which the watch may miss. */
  readonly noteStoredRevision: (revision: number) => void;
}

/**
 * Watches the published contract. A revision that is not newer is ignored, and when a revision
 * cannot be decoded, the last accepted one remains active.
 *
 * @param view View of all keys of the operator.
 * @param logger Logger.
 * @returns The source.
 *
 * @example
 * const contracts = createContractSource(view, logger);
 */
export const createContractSource = (view: StoreView, logger: Logger): ContractSource => {
  const log = logger.forComponent('contract');
  let table: RouteTable | undefined;
  let keyedServices: readonly string[] = [];
  let namedServices: ReadonlySet<string> = new Set();
  let longestTimeoutMs = Infinity;
  let isRefreshing = false;

  view.onChange(({ keys }) => {
    const entry = keys.includes(CONTRACT_KEY) ? view.get(CONTRACT_KEY) : undefined;
    if (entry === undefined) return;
    const contract = decodeContract(entry.value);
    if (contract.isErr()) {
      log.error({
        stored: entry.revision, reason: contract.error.message,
      }, 'ignored a contract revision that cannot be decoded');
      return;
    }
    const { revision, routes, services } = contract.value;
    if (table !== undefined && revision <= table.revision) return;
    const former = table?.revision;
    table = createRouteTable(contract.value);
    keyedServices = [...services.values()].filter(({ keyed }) => keyed).map(({ name }) => name);
    namedServices = new Set([
      ...services.keys(),
      ...routes.flatMap(({ targets }) => targets.map(({ service }) => service)),
    ]);
    longestTimeoutMs = routes.reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0);
    log.info({
      revision, former, stored: entry.revision, routes: routes.length, services: services.size,
    }, 'accepted a contract revision');
  });

  return {
    routes: () => table,
    serviceOf: (service) => table?.contract.services.get(service),
    isKeyed: (service) => table?.contract.services.get(service)?.keyed === true,
    namesService: (service) => namedServices.has(service),
    keyedServices: () => keyedServices,
    longestTimeoutMs: () => longestTimeoutMs,
    storedRevision: view.changedRevision,
    restartWatch: view.restartWatch,
    noteStoredRevision: (revision) => {
      if (isRefreshing || revision <= view.revision() || !view.isLoaded()) return;
      isRefreshing = true;
      // The first connection may have gone silent; a call after a timeout uses a new one.
      view.refresh().then((isRead) => isRead || view.refresh()).catch((error: unknown) => {
        log.error({
          stored: revision, reason: String(error),
        }, 'failed to read the changes of the operator');
      }).finally(() => {
        isRefreshing = false;
      });
    },
  };
};

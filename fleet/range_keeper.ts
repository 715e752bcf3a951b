import {
  nodeKey, type OwnEntry, rangesKey, type StoreView,
} from '../directory/mod.ts';
import {
  type Announcement,
  type AnnouncementAnswer,
  decodeRecord,
  emptyRecord,
  encodeRecord,
  type RangeRecord,
  type RightToGrant,
} from '../ranges/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import { rankOf } from './_owners.ts';
import { createRangePlanner, type RangePlannerOptions, rowKey } from './_range_plan.ts';

/** Keeps the range record of the service of this host's instance. */
export interface RangeKeeper {
  readonly answer: (announcement: Announcement) => AnnouncementAnswer;
  /** Newest known record of a service and its revision. */
  readonly recordOf: (service: string) => { record: RangeRecord; version: number } | undefined;
  /** Brings the record closer to what should hold; safe to call at any time. */
  readonly reconcile: () => Promise<void>;
  /** This node plans moves, because it is the first of the service's nodes. */
  readonly isPlanner: () => boolean;
}

/** Options of a keeper. */
export interface RangeKeeperOptions extends RangePlannerOptions {
  readonly store: LeasedStore;
  readonly view: StoreView;
  /** Time in ms for which holds may be given. */
  readonly grantableMs: () => number;
  readonly isKeyed: (service: string) => boolean;
  readonly keyedServices: () => readonly string[];
  readonly onMoved?: (rows: number, reason: string) => void;
}

/**
 * Time in ms for which a node may give holds. After its entry was missing, the node may have lost
 * keys, so the record must have been read since the entry came to be.
 *
 * @param right Right to grant of the node.
 * @param own Entry of the node.
 * @param view View of the store with the record.
 * @returns The time; 0 while nothing may be granted.
 *
 * @example
 * const holdMs = Math.min(maxHoldMs, grantableMs(right, own, view));
 */
export const grantableMs = (
  right: Pick<RightToGrant, 'remainingMs'>,
  own: Pick<OwnEntry, 'createdAt'>,
  view: Pick<StoreView, 'revision'>,
): number => (view.revision() >= own.createdAt() ? right.remainingMs() : 0);

/**
 * Creates the keeper. Any node may change the record; the store's condition on its revision
 * decides, and each change is derived from the newest record, so that a lost race costs a call.
 *
 * @param options Clock, store, views, registry, ledger and right to grant.
 * @returns The keeper.
 *
 * @example
 * const answer = keeper.answer(announcement);
 */
export const createRangeKeeper = (options: RangeKeeperOptions): RangeKeeper => {
  const {
    node, view, registry, ledger,
  } = options;
  const logger = options.logger.forPart('ranges');
  const {
    plan, stateOf, isReleasedHere, ownersOf,
  } = createRangePlanner({ ...options, logger });
  const decoded = new Map<string, { revision: number; record: RangeRecord | undefined }>();
  let isBusy = false;
  let isAgain = false;

  const recordOf: RangeKeeper['recordOf'] = (service) => {
    const entry = view.get(rangesKey(service));
    if (entry === undefined) return undefined;
    let known = decoded.get(service);
    if (known?.revision !== entry.revision) {
      known = { revision: entry.revision, record: decodeRecord(entry.value) };
      decoded.set(service, known);
    }
    return known.record && { record: known.record, version: known.revision };
  };

  /** Keyed services of which this host has an instance, or keys of a former one. */
  const servicesOfHost = () => options.keyedServices().filter((service) => (
    registry.local()?.service === service
    || recordOf(service)?.record.rows.some(({ owner }) => owner?.node === node)
  ));

  const write = async (service: string): Promise<void> => {
    const key = rangesKey(service);
    const known = recordOf(service);
    const entry = view.get(key);
    if (entry !== undefined && known === undefined) {
      logger.error({ service, revision: entry.revision }, 'the range record cannot be read');
      return;
    }
    const before = known?.record ?? emptyRecord;
    const state = stateOf(service);
    let planned = plan(before, service);
    if (planned.lost.size > 0) {
      // This view may lag behind a silent connection, and the nodes may have been back meanwhile.
      if (!await view.refresh() || recordOf(service)?.version !== known?.version) return;
      planned = plan(before, service);
    }
    const { record, lost, reason } = planned;
    if (record === before) return;
    // The write may take effect late, so these rows are not granted again, whatever comes.
    for (const row of before.rows) {
      if (isReleasedHere(row, state)) state.released.add(rowKey(row));
    }
    const value = encodeRecord(record);
    const result = await options.store.transact({
      expect: [
        { key, revision: entry?.revision ?? 0 },
        // A lost node that is back by now keeps its keys.
        ...[...lost].map((name) => ({ key: nodeKey(name), revision: 0 })),
      ],
      puts: [{ key, value }],
    });
    if (result.isOk()) {
      const changed = record.rows.filter((row) => !before.rows.includes(row)).length;
      logger.info({
        service,
        from: entry?.revision ?? 0,
        to: result.value,
        rows: changed,
        lost: [...lost],
        reason,
      }, 'changed the range record');
      options.onMoved?.(changed, reason);
      view.apply({ key, revision: result.value, value });
      const left = new Set(record.rows.filter(({ owner }) => owner?.node === node).map(rowKey));
      for (const one of state.released) if (!left.has(one)) state.released.delete(one);
      return;
    }
    logger.warn({ service, reason: result.error.message }, 'could not change the range record');
    if (result.error.kind !== 'conflict') return;
    const newest = await options.store.get(key);
    if (newest.isOk() && newest.value !== undefined) view.apply(newest.value);
  };

  const reconcile = async () => {
    if (isBusy) {
      isAgain = true;
      return;
    }
    if (!view.isLoaded()) return;
    isBusy = true;
    try {
      do {
        isAgain = false;
        for (const service of servicesOfHost()) await write(service);
      } while (isAgain);
    } finally {
      isBusy = false;
    }
  };

  const answer: RangeKeeper['answer'] = (announcement) => {
    if (!options.isKeyed(announcement.service)) return { grants: undefined };
    const record = view.isLoaded() ? recordOf(announcement.service)?.record : undefined;
    const hasOthers = ownersOf(announcement.service).some((owner) => owner.node !== node);
    const { released } = stateOf(announcement.service);
    const outcome = ledger.answer(announcement, {
      record,
      rightMs: options.grantableMs(),
      isWithdrawn: (row) => released.has(rowKey(row))
        || (announcement.isDraining && hasOthers && view.isConnected()),
    });
    for (const row of outcome.released) released.add(rowKey(row));
    logger.debug({
      instance: announcement.instance,
      sequence: announcement.sequence,
      held: announcement.held.length,
      granted: outcome.answer.grants?.ranges.length,
      holdMs: outcome.answer.grants?.holdMs,
      released: outcome.released.length,
    }, 'answered an announcement');
    return outcome.answer;
  };

  return {
    answer,
    recordOf,
    reconcile,
    isPlanner: () => {
      const service = registry.local()?.service;
      if (service === undefined || !options.isKeyed(service)) return false;
      return rankOf(ownersOf(service), node) === 0;
    },
  };
};

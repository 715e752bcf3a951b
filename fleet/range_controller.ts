import {
  nodeKey, type NodeRegistration, rangesKey, type StoreView,
} from '../directory/mod.ts';
import {
  type Announcement,
  type AnnouncementAnswer,
  decodeRecord,
  emptyRecord,
  encodeRecord,
  type RangeRecord,
  type RightToGrant,
  suspendMoves,
} from '../ranges/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import { rankOf } from './_owners.ts';
import type { EraRecovery } from './era_recovery.ts';
import { createRangePlanner, type RangePlannerOptions, rowKey } from './_range_planner.ts';

/** Reconciles the range records of this host's services and answers announcements. */
export interface RangeController {
  readonly answer: (announcement: Announcement) => AnnouncementAnswer;
  /** Newest known record of a service, with its store revision as the version. */
  readonly recordOf: (service: string) => { record: RangeRecord; version: number } | undefined;
  /** Moves the records towards the planned state; safe to call at any time. */
  readonly reconcile: () => Promise<void>;
  /** Reports whether this node plans the moves of its instance's service. */
  readonly isPlanner: () => boolean;
}

/** Options for {@link createRangeController}. */
export interface RangeControllerOptions extends RangePlannerOptions {
  readonly store: LeasedStore;
  readonly view: StoreView;
  /** Time in ms for which holds may currently be granted. */
  readonly grantableMs: () => number;
  readonly isKeyed: (service: string) => boolean;
  readonly keyedServices: () => readonly string[];
  readonly recovery: EraRecovery;
  /** Called after a record change with the number of changed rows and its reason. */
  readonly onRowsChanged?: (rows: number, reason: string) => void;
}

/**
 * Writes in a row of a node whose failure domain is evacuated, all of whose owners write the same
 * record within one announce interval. A conflict then costs a call instead of 200 ms.
 */
const MAX_CONTENDED_WRITES = 5;
/**
 * Longest pause in ms before each of these writes, which spreads those of owners that announce
 * themselves at the same time. Pauses up to 100 ms made more keys wait for another announcement.
 */
const MAX_CONTENDED_PAUSE_MS = 40;

/**
 * Returns the time for which a node may grant holds. While its entry was missing, the node may have
 * lost keys, so its view must be at least as recent as the creation of the entry.
 *
 * @param right Right to grant of the node.
 * @param own The node's own entry in the store.
 * @param view View of the store that includes the record.
 * @returns The time in ms; 0 while nothing may be granted.
 *
 * @example
 * const holdMs = Math.min(maxHoldMs, grantableMs(right, own, view));
 */
export const grantableMs = (
  right: Pick<RightToGrant, 'remainingMs'>,
  own: Pick<NodeRegistration, 'createdAt'>,
  view: Pick<StoreView, 'revision'>,
): number => (view.revision() >= own.createdAt() ? right.remainingMs() : 0);

/**
 * Creates the controller. Any node may change a record by a compare-and-swap on its revision. Each
 * change is derived from the newest record, so a lost race costs no more than a call.
 *
 * @param options Clock, store, views, registry, grant tracker and right to grant.
 * @returns The controller.
 *
 * @example
 * const answer = controller.answer(announcement);
 */
export const createRangeController = (options: RangeControllerOptions): RangeController => {
  const {
    node, view, registry, grantTracker, recovery,
  } = options;
  const logger = options.logger.forComponent('ranges');
  const {
    plan, observe, stateOf, isReleasedLocally, ownersOf,
  } = createRangePlanner({ ...options, logger });
  const decoded = new Map<string, { revision: number; record: RangeRecord | undefined }>();
  let isReconciling = false;
  let isRerunNeeded = false;

  /**
   * Forgets released rows that a newer record lacks. The writes that released them were on
   * condition of an earlier revision, and a row of the same bounds may be granted and held later.
   */
  const forgetReleased = (record: RangeRecord, service: string) => {
    const { released } = stateOf(service);
    if (released.size === 0) return;
    const ownRows = new Set(record.rows.filter(({ owner }) => owner?.node === node).map(rowKey));
    for (const row of released) if (!ownRows.has(row)) released.delete(row);
  };

  const storedOf: RangeController['recordOf'] = (service) => {
    const entry = view.get(rangesKey(service));
    if (entry === undefined) return undefined;
    let known = decoded.get(service);
    if (known?.revision !== entry.revision) {
      const record = decodeRecord(entry.value);
      known = { revision: entry.revision, record };
      decoded.set(service, known);
      if (record !== undefined && recovery.isConfirmed(record)) {
        recovery.note(service, { record, version: entry.revision });
        forgetReleased(record, service);
      }
    }
    return known.record && { record: known.record, version: known.revision };
  };

  const recordOf: RangeController['recordOf'] = (service) => (
    recovery.newestOf(service, storedOf(service))
  );

  /** Keyed services of which this host has an instance, or owns keys through a former one. */
  const servicesOfHost = () => options.keyedServices().filter((service) => (
    registry.local()?.service === service
    || recordOf(service)?.record.rows.some(({ owner }) => owner?.node === node)
  ));

  const readNewest = async (service: string) => {
    const newest = await options.store.get(rangesKey(service));
    if (newest.isOk() && newest.value !== undefined) view.apply(newest.value);
  };

  /** Brings the record closer to the plan; resolves to true after a conflict. */
  const updateRecord = async (service: string): Promise<boolean> => {
    const key = rangesKey(service);
    const known = storedOf(service);
    const entry = view.get(key);
    if (entry !== undefined && known === undefined) {
      logger.error({ service, revision: entry.revision }, 'failed to decode the range record');
      return false;
    }
    if (!recovery.isConfirmed(known?.record)) {
      if (!recovery.isViewCurrent()) return false;
      observe(recordOf(service)?.record ?? emptyRecord, service);
      await recovery.confirm(service, rankOf(ownersOf(service), node));
      return false;
    }
    const before = known?.record ?? emptyRecord;
    const state = stateOf(service);
    let planned = plan(before, service);
    if (planned.lost.size > 0) {
      // The view may be stale on a silent connection, and the lost nodes may have returned since.
      if (!await view.refresh() || storedOf(service)?.version !== known?.version) return false;
      planned = plan(before, service);
    }
    const { record, lost, reason } = planned;
    if (record === before) return false;
    // The write may take effect late even if it fails, so these rows are never granted again.
    for (const row of before.rows) {
      if (isReleasedLocally(row, state)) state.released.add(rowKey(row));
    }
    const value = encodeRecord(recovery.stamp(record, before));
    const result = await options.store.transact({
      expect: [
        { key, revision: entry?.revision ?? 0 },
        // A lost node that has returned by now keeps its keys.
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
      options.onRowsChanged?.(changed, reason);
      view.apply({ key, revision: result.value, value });
      forgetReleased(record, service);
      return false;
    }
    logger.warn({ service, reason: result.error.message }, 'failed to change the range record');
    return result.error.kind === 'conflict';
  };

  /** Reports whether the owners of this node's failure domain release their keys all at once. */
  const isContended = (service: string) => (
    options.rules.isSelfEvacuated() && recordOf(service)?.record.rows.some((row) => (
      isReleasedLocally(row, stateOf(service))
    )) === true
  );

  /** Writes the released rows of an evacuated owner, from the newest record. */
  const updateContended = async (service: string) => {
    for (let written = 1; written <= MAX_CONTENDED_WRITES; written += 1) {
      await options.clock.sleep(Math.random() * MAX_CONTENDED_PAUSE_MS);
      await readNewest(service);
      if (!await updateRecord(service)) return;
    }
  };

  const reconcile = async () => {
    if (isReconciling) {
      isRerunNeeded = true;
      return;
    }
    if (!view.isLoaded()) return;
    isReconciling = true;
    try {
      do {
        isRerunNeeded = false;
        await recovery.contribute();
        for (const service of servicesOfHost()) {
          if (isContended(service)) await updateContended(service);
          else if (await updateRecord(service)) await readNewest(service);
        }
      } while (isRerunNeeded);
    } finally {
      isReconciling = false;
    }
  };

  const answer: RangeController['answer'] = (announcement) => {
    if (!options.isKeyed(announcement.service)) return { grants: undefined };
    const { service } = announcement;
    const isConfirmed = recovery.isConfirmed(storedOf(service)?.record);
    const mayGrant = view.isLoaded() && (isConfirmed || recovery.isTrusted(service));
    const newest = mayGrant ? recordOf(service)?.record : undefined;
    const hasOthers = ownersOf(announcement.service).some((owner) => owner.node !== node);
    const { released } = stateOf(announcement.service);
    const outcome = grantTracker.answer(announcement, {
      record: newest === undefined || isConfirmed ? newest : suspendMoves(newest),
      rightMs: options.grantableMs(),
      isWithdrawn: (row) => released.has(rowKey(row))
        || ((announcement.isDraining || options.rules.mustRelease())
          && hasOthers && view.isConnected() && isConfirmed),
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
      return options.isPlannerOf(ownersOf(service));
    },
  };
};

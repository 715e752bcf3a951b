import type { Clock } from '../clock/mod.ts';
import {
  type FleetView, nodeKey, rangesKey, type StoreView,
} from '../directory/mod.ts';
import {
  type Announcement,
  type AnnouncementAnswer,
  assignRanges,
  type Candidate,
  createAbsenceTable,
  decodeRecord,
  dropDeadSuccessors,
  emptyRecord,
  encodeRecord,
  type GrantLedger,
  isSameOwner,
  type LoadPicture,
  type Owner,
  planAssignments,
  planMoves,
  type RangeRecord,
  type RangeRow,
  releaseRows,
  requestMoves,
  type RightToGrant,
} from '../ranges/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import { isLiveOwner, listOwners, rankOf } from './_owners.ts';

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
export interface RangeKeeperOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly store: LeasedStore;
  readonly view: StoreView;
  readonly fleet: FleetView;
  readonly registry: InstanceRegistry;
  readonly ledger: GrantLedger;
  readonly right: RightToGrant;
  readonly logger: Logger;
  readonly isKeyed: (service: string) => boolean;
  readonly keyedServices: () => readonly string[];
  /** Measured load; the candidates are those that the keeper found. */
  readonly pictureOf: (candidates: readonly Candidate['owner'][]) => LoadPicture;
  /** Longest hold in ms that an instance accepts. */
  readonly maxHoldMs: number;
  /** Duration in ms of the right to grant; a lost owner's holds end within it. */
  readonly rightMs: number;
  /** Time in ms after the start of the process before keys get their first owners. */
  readonly firstAssignmentMs: number;
  readonly onMoved?: (rows: number, reason: string) => void;
}

/** The clock of a lost instance may run 2 % slow, and watches may lag by a second. */
const ABSENCE_FACTOR = 1.02;
const ABSENCE_MARGIN_MS = 1500;
/** Keys without an owner are assigned by the first node, or later by the next in order. */
const RANK_DELAY_MS = 700;
/** Moves take about half a second; a plan before their end would count load twice. */
const PLAN_INTERVAL_MS = 1500;

const rowKey = ({ from, to, token }: RangeRow) => `${from}-${to}-${token}`;

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
    clock, node, view, fleet, registry, ledger,
  } = options;
  const logger = options.logger.forPart('ranges');
  const absences = createAbsenceTable(clock);
  const startedAt = clock.now();
  const decoded = new Map<string, { revision: number; record: RangeRecord | undefined }>();
  /** Rows that the instance holds no more, until the record says so too. */
  const released = new Set<string>();
  let freeSince: number | undefined;
  let plannedAt = -Infinity;
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

  const isLive = (owner: Owner) => isLiveOwner(fleet.present(), owner);
  const ownersOf = (service: string) => listOwners(fleet.present(), service);

  /** A row of this host whose owner certainly holds it no more. */
  const isReleasedHere = (row: RangeRow) => {
    if (row.owner?.node !== node) return false;
    const current = registry.owner();
    const isCurrent = isSameOwner(row.owner, current);
    if (released.has(rowKey(row))) return true;
    // A later life of the instance at this host proves the end of the earlier one.
    const isEarlier = current !== undefined && !isCurrent
      && current.startedAt >= row.owner.startedAt;
    if (isEarlier) return true;
    if (registry.isVacant()) return true;
    return registry.silentMs() > options.maxHoldMs && ledger.holdLeftMs() === 0;
  };

  const lostAfterMs = options.rightMs * ABSENCE_FACTOR + ABSENCE_MARGIN_MS;
  const isOfLostNode = ({ owner }: RangeRow) => (
    owner !== undefined && owner.node !== node && absences.absentMs(owner.node) > lostAfterMs
  );

  const observeAbsences = (record: RangeRecord) => {
    const wanted = new Set<string>();
    for (const { owner } of record.rows) if (owner !== undefined) wanted.add(owner.node);
    absences.observe(new Set(fleet.present().keys()), wanted);
  };
  fleet.onChange(({ gap }) => {
    if (gap) absences.restart();
  });

  const mayAssign = (record: RangeRecord, rank: number, releasedNow: boolean) => {
    const hasFree = record.rows.some(({ owner }) => owner === undefined);
    if (!hasFree) {
      freeSince = undefined;
      return false;
    }
    freeSince ??= clock.now();
    const isFirst = record === emptyRecord;
    if (isFirst && clock.now() - startedAt < options.firstAssignmentMs) return false;
    return releasedNow || clock.now() - freeSince >= rank * RANK_DELAY_MS;
  };

  const plan = (before: RangeRecord, service: string) => {
    const owners = ownersOf(service);
    const rank = rankOf(owners, node);
    const lost = new Set<string>();
    const isReleased = (row: RangeRow) => {
      if (isReleasedHere(row)) return true;
      if (!isOfLostNode(row)) return false;
      lost.add(row.owner!.node);
      return true;
    };
    let reason = 'released';
    let record = releaseRows(before, isReleased, isLive, ledger.handovers());
    const releasedNow = record !== before;
    if (rank === 0) record = dropDeadSuccessors(record, isLive);
    if (owners.length > 0 && mayAssign(record, rank, releasedNow)) {
      const picture = options.pictureOf(owners);
      record = assignRanges(record, planAssignments(record, picture));
      if (!releasedNow) reason = 'assigned';
    }
    const isSettled = record === before && !record.rows.some(({ successor }) => successor);
    if (rank === 0 && isSettled && clock.now() - plannedAt > PLAN_INTERVAL_MS) {
      plannedAt = clock.now();
      const picture = options.pictureOf(owners);
      record = requestMoves(record, planMoves(record, picture));
      reason = 'moves requested';
    }
    return { record, lost, reason };
  };

  const write = async (service: string): Promise<boolean> => {
    const key = rangesKey(service);
    const known = recordOf(service);
    const entry = view.get(key);
    if (entry !== undefined && known === undefined) {
      logger.error({ service, revision: entry.revision }, 'the range record cannot be read');
      return false;
    }
    const before = known?.record ?? emptyRecord;
    observeAbsences(before);
    const { record, lost, reason } = plan(before, service);
    if (record === before) return false;
    // The write may take effect late, so these rows are not granted again, whatever comes.
    for (const row of before.rows) if (isReleasedHere(row)) released.add(rowKey(row));
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
      released.clear();
      return true;
    }
    logger.warn({ service, reason: result.error.message }, 'could not change the range record');
    if (result.error.kind !== 'conflict') return false;
    const newest = await options.store.get(key);
    if (newest.isOk() && newest.value !== undefined) view.apply(newest.value);
    return false;
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
    const outcome = ledger.answer(announcement, {
      record,
      rightMs: options.right.remainingMs(),
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
      return service !== undefined && options.isKeyed(service) && rankOf(ownersOf(service), node) === 0;
    },
  };
};

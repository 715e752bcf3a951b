import type { Clock } from '../clock/mod.ts';
import { type FleetView, NODES_PREFIX } from '../directory/mod.ts';
import {
  type AbsenceTable,
  assignRanges,
  createAbsenceTable,
  dropDeadSuccessors,
  emptyRecord,
  type GrantTracker,
  isSameOwner,
  type LoadSnapshot,
  type Owner,
  planAssignments,
  planMoves,
  type RangeRecord,
  type RangeRow,
  releaseRows,
  requestMoves,
} from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { requestEvacuationMoves } from './_evacuation_moves.ts';
import type { EvacuationRules } from './evacuation_rules.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import {
  isLiveOwner, isReplaced, listOwners, planLogFields, rankOf,
} from './_owners.ts';

/** Local state of a node about the keys of one service, in addition to the stored record. */
export interface ServiceState {
  readonly absences: AbsenceTable;
  /** Rows that the instance no longer holds but still owns in the record, by `rowKey`. */
  readonly released: Set<string>;
  /** Monotonic time in ms since which some keys have had no owner. */
  unownedSince: number | undefined;
  /** Monotonic time in ms of the last plan of moves. */
  plannedAt: number;
}

/** The planned record and the reason for its change. */
export interface RangePlan {
  readonly record: RangeRecord;
  /** Nodes whose holds have ended: entry missing for long enough, or address reused. */
  readonly lost: ReadonlySet<string>;
  readonly reason: string;
}

/** Computes the desired range record of a service. */
export interface RangePlanner {
  readonly plan: (before: RangeRecord, service: string) => RangePlan;
  /** Starts the waits for the owners in a record whose entries are missing. */
  readonly observe: (record: RangeRecord, service: string) => void;
  readonly stateOf: (service: string) => ServiceState;
  /** Reports whether it is proven that the owner of a row, on this host, no longer holds it. */
  readonly isReleasedLocally: (row: RangeRow, state: ServiceState) => boolean;
  readonly ownersOf: (service: string) => readonly Owner[];
}

/** Options for {@link createRangePlanner}. */
export interface RangePlannerOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly fleet: FleetView;
  readonly registry: InstanceRegistry;
  readonly grantTracker: GrantTracker;
  readonly logger: Logger;
  /** Returns the measured load of the candidates that the planner found. */
  readonly loadSnapshotOf: (candidates: readonly Owner[]) => LoadSnapshot;
  /** Maximum duration in ms of a hold. */
  readonly maxHoldMs: number;
  /** Duration in ms of the right to grant; the holds of a lost owner end within it. */
  readonly rightMs: number;
  /** Delay in ms from the start of the process to the first assignment of keys. */
  readonly firstAssignmentMs: number;
  /** Reports whether the contract names a service. */
  readonly namesService: (service: string) => boolean;
  /** Which owners may take keys while failure domains are evacuated. */
  readonly rules: Pick<EvacuationRules, 'isEvacuated' | 'isSelfEvacuated' | 'mustRelease'>;
  /** Reports whether this node plans the moves between these owners. */
  readonly isPlannerOf: (owners: readonly Owner[]) => boolean;
}

/** Allows for the clock of a lost instance that runs 2 % slow. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Allows for a watch that lags by a second. */
const WATCH_LAG_MARGIN_MS = 1500;
/** Unowned keys are assigned by the first owner; each further rank waits this much longer. */
const ASSIGN_DELAY_PER_RANK_MS = 700;
/** Minimum interval between two plans of moves; load reports are collected once a second. */
const PLAN_INTERVAL_MS = 900;

/** Returns the time in ms after which the holds of a node have ended whose entry is missing. */
export const lostAfterMs = (rightMs: number): number => (
  rightMs * CLOCK_DRIFT_FACTOR + WATCH_LAG_MARGIN_MS
);

/** Returns a string that identifies one row, under one owner, within its service. */
export const rowKey = ({ from, to, token }: RangeRow): string => `${from}-${to}-${token}`;

/** Creates the planner. Each plan is derived from the record and from proof of released holds. */
export const createRangePlanner = (options: RangePlannerOptions): RangePlanner => {
  const {
    clock, node, fleet, registry, grantTracker, logger,
  } = options;
  const { isEvacuated } = options.rules;
  const startedAt = clock.now();
  const states = new Map<string, ServiceState>();

  const stateOf = (service: string): ServiceState => {
    const known = states.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      absences: createAbsenceTable(clock),
      released: new Set(),
      unownedSince: undefined,
      plannedAt: -Infinity,
    };
    states.set(service, state);
    return state;
  };

  const isLive = (owner: Owner) => isLiveOwner(fleet.present(), owner, isEvacuated);
  const ownersOf = (service: string) => listOwners(fleet.present(), service, isEvacuated);

  const isInEvacuatedDomain = (owner: Owner) => {
    const failureDomain = fleet.find(owner.node)?.failureDomain;
    return failureDomain !== undefined && isEvacuated(failureDomain);
  };

  /** Gives the keys of evacuated owners next owners, also between two plans of moves. */
  const moveOutOfEvacuated = (record: RangeRecord, service: string) => {
    const isDue = record.rows.some(({ owner, successor }) => (
      owner !== undefined && successor === undefined && isInEvacuatedDomain(owner)
    ));
    if (!isDue) return record;
    const snapshot = options.loadSnapshotOf(listOwners(fleet.present(), service, () => false));
    const next = requestEvacuationMoves(record, snapshot, isInEvacuatedDomain);
    if (next !== record) {
      logger.info({
        service,
        from: [...new Set(record.rows.flatMap(({ owner }) => (
          owner !== undefined && isInEvacuatedDomain(owner) ? [owner.node] : []
        )))],
        rows: next.rows.filter((row) => !record.rows.includes(row)).length,
      }, 'moves keys out of evacuated failure domains');
    }
    return next;
  };

  const isReleasedLocally = (row: RangeRow, { released }: ServiceState) => {
    if (row.owner?.node !== node) return false;
    const current = registry.owner();
    const isCurrent = isSameOwner(row.owner, current);
    if (released.has(rowKey(row))) return true;
    // A later process of the instance on this host proves that the earlier one has ended.
    const isEarlier = current !== undefined && !isCurrent && registry.hasSucceeded()
      && current.startedAt >= row.owner.startedAt;
    if (isEarlier) return true;
    if (registry.isProcessGone()) return true;
    return registry.silentMs() > options.maxHoldMs && grantTracker.remainingHoldMs() === 0;
  };

  const takeoverMs = lostAfterMs(options.rightMs);
  const isOfLostNode = ({ owner }: RangeRow, { absences }: ServiceState) => {
    if (owner === undefined || owner.node === node) return false;
    return absences.absentMs(owner.node) > takeoverMs
      || isReplaced(fleet, owner.node, options.namesService);
  };

  const observeAbsences = (record: RangeRecord, { absences }: ServiceState) => {
    const wanted = new Set<string>();
    for (const { owner } of record.rows) if (owner !== undefined) wanted.add(owner.node);
    absences.observe(new Set(fleet.present().keys()), wanted);
  };
  fleet.onChange(({ keys, mayMissChanges }) => {
    for (const { absences } of states.values()) {
      if (mayMissChanges) absences.restart();
      // An entry that appeared and vanished while this process was suspended shows as a change.
      for (const key of keys) absences.touch(key.slice(NODES_PREFIX.length));
    }
  });

  const mayAssign = (
    record: RangeRecord,
    state: ServiceState,
    rank: number,
    releasedNow: boolean,
  ) => {
    const hasUnowned = record.rows.some(({ owner }) => owner === undefined);
    if (!hasUnowned) {
      Object.assign(state, { unownedSince: undefined });
      return false;
    }
    const unownedSince = state.unownedSince ?? clock.now();
    Object.assign(state, { unownedSince });
    const isFirst = record === emptyRecord;
    if (isFirst && clock.now() - startedAt < options.firstAssignmentMs) return false;
    return releasedNow || clock.now() - unownedSince >= rank * ASSIGN_DELAY_PER_RANK_MS;
  };

  const plan: RangePlanner['plan'] = (before, service) => {
    const state = stateOf(service);
    observeAbsences(before, state);
    const owners = ownersOf(service);
    const rank = rankOf(owners, node);
    const lost = new Set<string>();
    const isReleased = (row: RangeRow) => {
      if (isReleasedLocally(row, state)) return true;
      if (!isOfLostNode(row, state)) return false;
      lost.add(row.owner!.node);
      return true;
    };
    let reason = 'released';
    let record = releaseRows(before, isReleased, isLive, grantTracker.handovers());
    const releasedNow = record !== before;
    const isPlanner = options.isPlannerOf(owners);
    if (isPlanner) {
      const next = moveOutOfEvacuated(dropDeadSuccessors(record, isLive), service);
      if (next !== record && !releasedNow) reason = 'moves requested';
      record = next;
    }
    if (owners.length > 0 && mayAssign(record, state, rank, releasedNow)) {
      const snapshot = options.loadSnapshotOf(owners);
      record = assignRanges(record, planAssignments(record, snapshot));
      if (!releasedNow) reason = 'assigned';
    }
    const isDue = clock.now() - state.plannedAt > PLAN_INTERVAL_MS;
    if (isPlanner && record === before && isDue) {
      state.plannedAt = clock.now();
      const snapshot = options.loadSnapshotOf(owners);
      const moves = planMoves(record, snapshot);
      record = requestMoves(record, moves);
      reason = 'moves requested';
      if (moves.length > 0) logger.info(planLogFields(service, moves, snapshot), 'planned moves');
    }
    return { record, lost, reason };
  };

  return {
    plan,
    observe: (record, service) => observeAbsences(record, stateOf(service)),
    stateOf,
    isReleasedLocally,
    ownersOf,
  };
};

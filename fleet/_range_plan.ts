import type { Clock } from '../clock/mod.ts';
import { type FleetView, NODES_PREFIX } from '../directory/mod.ts';
import {
  type AbsenceTable,
  assignRanges,
  createAbsenceTable,
  dropDeadSuccessors,
  emptyRecord,
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
} from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import {
  describePlan, isLiveOwner, isReplaced, listOwners, rankOf,
} from './_owners.ts';

/** What a node knows of the keys of one service beside the record. */
export interface ServiceState {
  readonly absences: AbsenceTable;
  /** Rows that the instance holds no more, until the record says so too. */
  readonly released: Set<string>;
  /** Time in ms since which some keys have had no owner. */
  freeSince: number | undefined;
  plannedAt: number;
}

/** A changed record and why it changed. */
export interface RangePlan {
  readonly record: RangeRecord;
  /** Nodes whose entries were missing for so long that their holds have ended. */
  readonly lost: ReadonlySet<string>;
  readonly reason: string;
}

/** Decides what the record of a service should say. */
export interface RangePlanner {
  readonly plan: (before: RangeRecord, service: string) => RangePlan;
  readonly stateOf: (service: string) => ServiceState;
  /** A row of this host whose owner certainly holds it no more. */
  readonly isReleasedHere: (row: RangeRow, state: ServiceState) => boolean;
  readonly ownersOf: (service: string) => readonly Owner[];
}

/** Options of a planner. */
export interface RangePlannerOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly fleet: FleetView;
  readonly registry: InstanceRegistry;
  readonly ledger: GrantLedger;
  readonly logger: Logger;
  /** Measured load; the candidates are those that the planner found. */
  readonly pictureOf: (candidates: readonly Owner[]) => LoadPicture;
  /** Longest hold in ms that an instance accepts. */
  readonly maxHoldMs: number;
  /** Duration in ms of the right to grant; a lost owner's holds end within it. */
  readonly rightMs: number;
  /** Time in ms after the start of the process before keys get their first owners. */
  readonly firstAssignmentMs: number;
}

/** The clock of a lost instance may run 2 % slow, and watches may lag by a second. */
const ABSENCE_FACTOR = 1.02;
const ABSENCE_MARGIN_MS = 1500;
/** Keys without an owner are assigned by the first node, or later by the next in order. */
const RANK_DELAY_MS = 700;
/** Load reports are collected once a second. */
const PLAN_INTERVAL_MS = 900;

/** Text that tells one row under one owner from all others of its service. */
export const rowKey = ({ from, to, token }: RangeRow): string => `${from}-${to}-${token}`;

/** Creates the planner; each plan derives from the record and from proofs of released holds. */
export const createRangePlanner = (options: RangePlannerOptions): RangePlanner => {
  const {
    clock, node, fleet, registry, ledger, logger,
  } = options;
  const startedAt = clock.now();
  const states = new Map<string, ServiceState>();

  const stateOf = (service: string): ServiceState => {
    const known = states.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      absences: createAbsenceTable(clock),
      released: new Set(),
      freeSince: undefined,
      plannedAt: -Infinity,
    };
    states.set(service, state);
    return state;
  };

  const isLive = (owner: Owner) => isLiveOwner(fleet.present(), owner);
  const ownersOf = (service: string) => listOwners(fleet.present(), service);

  const isReleasedHere = (row: RangeRow, { released }: ServiceState) => {
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
  const isOfLostNode = ({ owner }: RangeRow, { absences }: ServiceState) => {
    if (owner === undefined || owner.node === node) return false;
    return absences.absentMs(owner.node) > lostAfterMs || isReplaced(fleet, owner.node);
  };

  const observeAbsences = (record: RangeRecord, { absences }: ServiceState) => {
    const wanted = new Set<string>();
    for (const { owner } of record.rows) if (owner !== undefined) wanted.add(owner.node);
    absences.observe(new Set(fleet.present().keys()), wanted);
  };
  fleet.onChange(({ keys, gap }) => {
    for (const { absences } of states.values()) {
      if (gap) absences.restart();
      // An entry that came and went while this process was frozen is seen only as a change.
      for (const key of keys) absences.touch(key.slice(NODES_PREFIX.length));
    }
  });

  const mayAssign = (
    record: RangeRecord,
    state: ServiceState,
    rank: number,
    releasedNow: boolean,
  ) => {
    const hasFree = record.rows.some(({ owner }) => owner === undefined);
    if (!hasFree) {
      Object.assign(state, { freeSince: undefined });
      return false;
    }
    const freeSince = state.freeSince ?? clock.now();
    Object.assign(state, { freeSince });
    const isFirst = record === emptyRecord;
    if (isFirst && clock.now() - startedAt < options.firstAssignmentMs) return false;
    return releasedNow || clock.now() - freeSince >= rank * RANK_DELAY_MS;
  };

  const plan: RangePlanner['plan'] = (before, service) => {
    const state = stateOf(service);
    observeAbsences(before, state);
    const owners = ownersOf(service);
    const rank = rankOf(owners, node);
    const lost = new Set<string>();
    const isReleased = (row: RangeRow) => {
      if (isReleasedHere(row, state)) return true;
      if (!isOfLostNode(row, state)) return false;
      lost.add(row.owner!.node);
      return true;
    };
    let reason = 'released';
    let record = releaseRows(before, isReleased, isLive, ledger.handovers());
    const releasedNow = record !== before;
    if (rank === 0) record = dropDeadSuccessors(record, isLive);
    if (owners.length > 0 && mayAssign(record, state, rank, releasedNow)) {
      const picture = options.pictureOf(owners);
      record = assignRanges(record, planAssignments(record, picture));
      if (!releasedNow) reason = 'assigned';
    }
    const isDue = clock.now() - state.plannedAt > PLAN_INTERVAL_MS;
    if (rank === 0 && record === before && isDue) {
      state.plannedAt = clock.now();
      const picture = options.pictureOf(owners);
      const moves = planMoves(record, picture);
      record = requestMoves(record, moves);
      reason = 'moves requested';
      if (moves.length > 0) logger.info(describePlan(service, moves, picture), 'planned moves');
    }
    return { record, lost, reason };
  };

  return {
    plan, stateOf, isReleasedHere, ownersOf,
  };
};

import type { CancelTask, Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { KeyLoad, LoadReport } from '../proto/mod.ts';
import { findActor } from './_decide_changes.ts';
import { createHotKeySketch, type HotKeySketch } from './hot_key_sketch.ts';
import { COOL_KEY_SHARE, type ServiceLoad } from './plan_hot_keys.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';
import type { Placements } from './placements.ts';
import type { SlotOfKey } from './slot_of_key.ts';

/** Counts requests per key at the owners and brings the rates to the node that plans. */
export interface LoadReports {
  /** Counts one request that this node serves as the owner of the key. */
  readonly count: (service: string, key: string) => void;
  /** Load of a service as reported to this node; `undefined` until an owner has reported. */
  readonly loadOf: (service: string) => ServiceLoad | undefined;
  readonly stop: () => void;
}

/** What the load reports are built from. */
export interface LoadReportsOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly placements: Placements;
  readonly slotOfKey: SlotOfKey;
  readonly ownerIdOf: (service: string) => OwnerId;
}

/**
 * A report of an owner without hot keys takes about 60 bytes. With 510 owners the planning node
 * receives about 3 KB a second at this interval.
 */
export const LOAD_REPORT_INTERVAL_MS = 10_000;

const REPORT_LIFETIME_MS = 3 * LOAD_REPORT_INTERVAL_MS;
const SKETCH_CAPACITY = 256;
const MAX_REPORTED_KEYS = 16;
const MS_PER_SECOND = 1000;

interface Counting {
  readonly sketch: HotKeySketch;
  total: number;
  startedAt: number;
}

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAt: number;
}

const actorAddress = (
  record: PlacementRecord,
  membership: Pick<Membership, 'members'>,
): string | undefined => {
  const actor = findActor(record, membership.members());
  return record.owners.find(({ id }) => id === actor)?.controlAddress;
};

/**
 * Starts to report the load of this node's owners and to collect the reports of others.
 *
 * @param options Clock, transport, membership, records and the identifier of this node's owners.
 * @returns The load reports.
 *
 * @example
 * const reports = createLoadReports({ clock, transport, membership, placements, slotOfKey,
 *   ownerIdOf: placer.ownerIdOf });
 * reports.count('ledger', 'gate-17');
 */
export const createLoadReports = (options: LoadReportsOptions): LoadReports => {
  const {
    clock, transport, membership, placements,
  } = options;
  const countings = new Map<string, Counting>();
  const received = new Map<string, Map<OwnerId, ReceivedReport>>();
  let cancelNext: CancelTask = () => undefined;

  const accept = (report: LoadReport) => {
    const reports = received.get(report.service) ?? new Map<OwnerId, ReceivedReport>();
    received.set(report.service, reports);
    reports.set(report.owner, { report, receivedAt: clock.now() });
  };

  const hottestKeys = (counting: Counting, seconds: number, record: PlacementRecord): KeyLoad[] => {
    const leastCount = counting.total * COOL_KEY_SHARE;
    return counting.sketch.top(MAX_REPORTED_KEYS)
      .filter(({ count, error }) => count - error >= leastCount)
      .map(({ key, count, error }) => ({
        key,
        slot: options.slotOfKey(key, record.slotCount),
        requestsPerSecond: (count - error) / seconds,
      }));
  };

  const report = (service: string, counting: Counting) => {
    const record = placements.current(service);
    const seconds = (clock.now() - counting.startedAt) / MS_PER_SECOND;
    if (record === undefined || seconds <= 0) return;
    const address = actorAddress(record, membership);
    const value: LoadReport = {
      service,
      owner: options.ownerIdOf(service),
      requestsPerSecond: counting.total / seconds,
      keys: hottestKeys(counting, seconds, record),
    };
    if (address === membership.self().controlAddress) accept(value);
    else if (address !== undefined) transport.send(address, { $case: 'loadReport', value });
  };

  const run = () => {
    for (const [service, counting] of countings) {
      report(service, counting);
      countings.set(service, {
        sketch: createHotKeySketch(SKETCH_CAPACITY), total: 0, startedAt: clock.now(),
      });
    }
    cancelNext = clock.schedule(LOAD_REPORT_INTERVAL_MS, run);
  };

  const freshReports = (service: string): readonly LoadReport[] => {
    const reports = received.get(service);
    if (reports === undefined) return [];
    for (const [owner, { receivedAt }] of reports) {
      if (clock.now() - receivedAt > REPORT_LIFETIME_MS) reports.delete(owner);
    }
    return [...reports.values()].map((entry) => entry.report);
  };

  transport.handle('loadReport', (value) => {
    accept(value);
    return undefined;
  });
  cancelNext = clock.schedule(LOAD_REPORT_INTERVAL_MS, run);

  return {
    count: (service, key) => {
      let counting = countings.get(service);
      if (counting === undefined) {
        counting = {
          sketch: createHotKeySketch(SKETCH_CAPACITY), total: 0, startedAt: clock.now(),
        };
        countings.set(service, counting);
      }
      counting.total += 1;
      counting.sketch.add(key);
    },
    loadOf: (service) => {
      const reports = freshReports(service);
      if (reports.length === 0) return undefined;
      return {
        ownerRates: new Map(reports.map((entry) => [entry.owner, entry.requestsPerSecond])),
        keyRates: reports.flatMap((entry) => entry.keys),
      };
    },
    stop: () => cancelNext(),
  };
};

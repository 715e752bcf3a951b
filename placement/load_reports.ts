import type { CancelTask, Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { KeyLoad, LoadReport } from '../proto/mod.ts';
import { findCoordinator } from './_decide_changes.ts';
import { createHotKeySketch, type HotKeySketch } from './hot_key_sketch.ts';
import { COLD_KEY_SHARE, type ServiceLoad } from './plan_hot_keys.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';
import type { Placements } from './placements.ts';
import type { SlotOfKey } from './slot_of_key.ts';

/** Counts requests per key at the owners and reports the rates to the coordinating node. */
export interface LoadReports {
  /** Counts one request that this node serves as the owner of the key. */
  readonly countRequest: (service: string, key: string) => void;
  /** Returns the load reported to this node, or `undefined` without a current report. */
  readonly loadOf: (service: string) => ServiceLoad | undefined;
  /** Stops sending reports. */
  readonly stop: () => void;
}

/** Dependencies of the load reports. */
export interface LoadReportsOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly placements: Placements;
  readonly slotOfKey: SlotOfKey;
  readonly ownerIdOf: (service: string) => OwnerId;
}

/**
 * Interval between the load reports of an owner. A report without hot keys takes about 60 bytes, so
 * with 510 owners the coordinating node receives about 3 KB per second.
 */
export const LOAD_REPORT_INTERVAL_MS = 10_000;

const REPORT_TTL_MS = 3 * LOAD_REPORT_INTERVAL_MS;
const SKETCH_CAPACITY = 256;
const MAX_REPORTED_KEYS = 16;
const MS_PER_SECOND = 1000;

/** Requests counted since the last report. */
interface LoadWindow {
  readonly sketch: HotKeySketch;
  total: number;
  startedAt: number;
}

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAt: number;
}

const coordinatorAddress = (
  record: PlacementRecord,
  membership: Pick<Membership, 'members'>,
): string | undefined => {
  const coordinator = findCoordinator(record, membership.members());
  return record.owners.find(({ id }) => id === coordinator)?.controlAddress;
};

/**
 * Starts sending load reports of this node's owners and collecting the reports of other nodes.
 *
 * @param options Clock, transport, membership, placement records, slot function and owner
 * identifiers of this node.
 * @returns The load reports.
 *
 * @example
 * const reports = createLoadReports({ clock, transport, membership, placements, slotOfKey,
 *   ownerIdOf: placer.ownerIdOf });
 * reports.countRequest('ledger', 'gate-17');
 */
export const createLoadReports = (options: LoadReportsOptions): LoadReports => {
  const {
    clock, transport, membership, placements,
  } = options;
  const loadWindows = new Map<string, LoadWindow>();
  const received = new Map<string, Map<OwnerId, ReceivedReport>>();
  let cancelNext: CancelTask = () => undefined;

  const accept = (report: LoadReport) => {
    const reports = received.get(report.service) ?? new Map<OwnerId, ReceivedReport>();
    received.set(report.service, reports);
    reports.set(report.owner, { report, receivedAt: clock.now() });
  };

  const hottestKeys = (
    loadWindow: LoadWindow,
    seconds: number,
    record: PlacementRecord,
  ): KeyLoad[] => {
    const minCount = loadWindow.total * COLD_KEY_SHARE;
    return loadWindow.sketch.top(MAX_REPORTED_KEYS)
      .filter(({ count, error }) => count - error >= minCount)
      .map(({ key, count, error }) => ({
        key,
        slot: options.slotOfKey(key, record.slotCount),
        requestsPerSecond: (count - error) / seconds,
      }));
  };

  const sendReport = (service: string, loadWindow: LoadWindow) => {
    const record = placements.current(service);
    const seconds = (clock.now() - loadWindow.startedAt) / MS_PER_SECOND;
    if (record === undefined || seconds <= 0) return;
    const address = coordinatorAddress(record, membership);
    const value: LoadReport = {
      service,
      owner: options.ownerIdOf(service),
      requestsPerSecond: loadWindow.total / seconds,
      keys: hottestKeys(loadWindow, seconds, record),
    };
    if (address === membership.self().controlAddress) accept(value);
    else if (address !== undefined) transport.send(address, { $case: 'loadReport', value });
  };

  const sendAllReports = () => {
    for (const [service, loadWindow] of loadWindows) {
      sendReport(service, loadWindow);
      loadWindows.set(service, {
        sketch: createHotKeySketch(SKETCH_CAPACITY), total: 0, startedAt: clock.now(),
      });
    }
    cancelNext = clock.schedule(LOAD_REPORT_INTERVAL_MS, sendAllReports);
  };

  const unexpiredReports = (service: string): readonly LoadReport[] => {
    const reports = received.get(service);
    if (reports === undefined) return [];
    for (const [owner, { receivedAt }] of reports) {
      if (clock.now() - receivedAt > REPORT_TTL_MS) reports.delete(owner);
    }
    return [...reports.values()].map((entry) => entry.report);
  };

  transport.handle('loadReport', (value) => {
    accept(value);
    return undefined;
  });
  cancelNext = clock.schedule(LOAD_REPORT_INTERVAL_MS, sendAllReports);

  return {
    countRequest: (service, key) => {
      let loadWindow = loadWindows.get(service);
      if (loadWindow === undefined) {
        loadWindow = {
          sketch: createHotKeySketch(SKETCH_CAPACITY), total: 0, startedAt: clock.now(),
        };
        loadWindows.set(service, loadWindow);
      }
      loadWindow.total += 1;
      loadWindow.sketch.add(key);
    },
    loadOf: (service) => {
      const reports = unexpiredReports(service);
      if (reports.length === 0) return undefined;
      return {
        ownerRates: new Map(reports.map((entry) => [entry.owner, entry.requestsPerSecond])),
        keyRates: reports.flatMap((entry) => entry.keys),
      };
    },
    stop: () => cancelNext(),
  };
};

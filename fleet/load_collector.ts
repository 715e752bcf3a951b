import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import {
  type Candidate,
  estimateCapacities,
  type InstanceWork,
  keyCount,
  type KeyLoad,
  type KeyRange,
  type LoadCell,
  type LoadSnapshot,
  type Owner,
  ownerKey,
} from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { fetchFromPeer } from './_peer_messages.ts';

/** Load measured by the node of one owner. */
export interface LoadReport {
  /** Requests per second that the instance can serve. */
  readonly capacity: number;
  readonly cells: readonly LoadCell[];
  /** Absent in the reports of earlier versions, whose capacity is used instead. */
  readonly work?: InstanceWork;
}

/** Collects load reports from the owners of a service; used by the node that plans moves. */
export interface LoadCollector {
  /** Returns this node's own report as JSON, the response to a peer's request. */
  readonly encodeOwnReport: () => string;
  /** Fetches the load reports of all owners and discards those of other owners. */
  readonly collect: (owners: readonly OwnerEndpoint[]) => Promise<void>;
  /** Returns the load of the owners; an owner without a recent report has a default capacity. */
  readonly loadSnapshotOf: (owners: readonly Owner[]) => LoadSnapshot;
}

/** An owner and the address of its node. */
export interface OwnerEndpoint {
  readonly owner: Owner;
  readonly address: string;
}

/** Options for {@link createLoadCollector}. */
export interface LoadCollectorOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly load: KeyLoad;
  readonly logger: Logger;
  /** Ranges that the instance of this host may serve. */
  readonly ownRanges: () => readonly KeyRange[];
  /** Requests per second that the instance of this host can serve; 0 while unknown. */
  readonly ownCapacity: () => number;
  /** Recent runs of the instance of this host. */
  readonly ownWork: () => InstanceWork;
}

/** Maximum number of cells in a report; a cell is the smallest unit of a move. */
const MAX_REPORT_CELLS = 12;
const REPORT_TIMEOUT_MS = 400;
/** Reports older than this are ignored as out of date. */
const MAX_REPORT_AGE_MS = 4000;
/** Assumed capacity in requests per second while no measurement is known. */
const DEFAULT_CAPACITY = 60;

const reportSchema = z.object({
  capacity: z.number().positive(),
  cells: z.array(z.object({ from: z.int(), to: z.int(), rate: z.number().min(0) })),
  work: z.object({
    slots: z.number().positive(),
    classes: z.array(z.object({
      workClass: z.string(), runs: z.number().positive(), totalMs: z.number().min(0),
    })),
  }).optional(),
});

const roundToHundredths = (value: number) => Math.round(value * 100) / 100;

const roundWork = ({ slots, classes }: InstanceWork): InstanceWork => ({
  slots,
  classes: classes.map(({ workClass, runs, totalMs }) => ({
    workClass, runs: roundToHundredths(runs), totalMs: Math.round(totalMs),
  })),
});

/** Returns the capacities by the work that all owners report; the default without a report. */
const createCapacityLookup = (reports: readonly (LoadReport | undefined)[]) => {
  const measured = reports.flatMap((report) => (report?.work === undefined ? [] : [report]));
  const estimates = estimateCapacities(measured.map(({ work }) => work!));
  const capacities = new Map<LoadReport, number>();
  for (const [index, report] of measured.entries()) {
    const estimate = estimates?.[index];
    if (estimate !== undefined) capacities.set(report, estimate);
  }
  return (report: LoadReport | undefined): number => {
    if (report === undefined) return DEFAULT_CAPACITY;
    return capacities.get(report) ?? report.capacity;
  };
};

/**
 * Creates a collector without any reports.
 *
 * @param options Clock, node, local load measurement and logger.
 * @returns The collector.
 *
 * @example
 * await collector.collect(owners);
 * const snapshot = collector.loadSnapshotOf(owners);
 */
export const createLoadCollector = (options: LoadCollectorOptions): LoadCollector => {
  const { clock, node } = options;
  const logger = options.logger.forComponent('load');
  const reports = new Map<string, { readonly report: LoadReport; readonly at: number }>();

  const ownReport = (): LoadReport => ({
    capacity: options.ownCapacity() || DEFAULT_CAPACITY,
    cells: options.load.cells(options.ownRanges(), MAX_REPORT_CELLS)
      .map(({ from, to, rate }) => ({ from, to, rate: roundToHundredths(rate) })),
    work: roundWork(options.ownWork()),
  });

  const fetchReport = async (address: string): Promise<LoadReport | undefined> => {
    try {
      const { status, text } = await fetchFromPeer(address, 'load', REPORT_TIMEOUT_MS);
      if (status !== 200) return undefined;
      const parsed = reportSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data : undefined;
    } catch (error) {
      logger.debug({ peer: address, reason: String(error) }, 'failed to fetch a load report');
      return undefined;
    }
  };

  const collect: LoadCollector['collect'] = async (owners) => {
    await Promise.all(owners.map(async ({ owner, address }) => {
      const report = owner.node === node ? ownReport() : await fetchReport(address);
      if (report !== undefined) reports.set(ownerKey(owner), { report, at: clock.now() });
    }));
    const known = new Set(owners.map(({ owner }) => ownerKey(owner)));
    for (const key of reports.keys()) if (!known.has(key)) reports.delete(key);
  };

  const loadSnapshotOf: LoadCollector['loadSnapshotOf'] = (owners) => {
    const cells: LoadCell[] = [];
    const recent = owners.map((owner) => {
      const found = reports.get(ownerKey(owner));
      return found === undefined || clock.now() - found.at > MAX_REPORT_AGE_MS
        ? undefined
        : found.report;
    });
    const capacityOf = createCapacityLookup(recent);
    const candidates = owners.map((owner, index): Candidate => {
      const report = recent[index];
      if (report !== undefined) cells.push(...report.cells);
      return { owner, capacity: capacityOf(report) };
    });
    cells.sort((left, right) => left.from - right.from || keyCount(left) - keyCount(right));
    return { candidates, cells };
  };

  return { encodeOwnReport: () => JSON.stringify(ownReport()), collect, loadSnapshotOf };
};

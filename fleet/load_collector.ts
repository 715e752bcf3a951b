import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import { MAX_SLOTS } from '../directory/mod.ts';
import {
  type Candidate,
  estimateCapacities,
  type InstanceWork,
  KEY_COUNT,
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
  /** Requests per second that a cold instance may receive; absent unless it is cold. */
  readonly capacityLimit?: number | undefined;
}

/** Collects load reports from the owners of a service; used by the node that plans moves. */
export interface LoadCollector {
  /** Returns this node's own report as JSON, the response to a peer's request. */
  readonly encodeOwnReport: () => string;
  /** Fetches the load reports of all owners and discards those of other owners. */
  readonly collect: (owners: readonly OwnerEndpoint[]) => Promise<void>;
  /**
   * Returns the load of the owners that answer; one that has not been asked for a report yet has a
   * default capacity.
   */
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
  /** Requests per second that a cold instance may receive; undefined unless it is cold. */
  readonly ownCapacityLimit?: () => number | undefined;
  /** Recent runs of the instance of this host. */
  readonly ownWork: () => InstanceWork;
  /** Sends a control message to a peer; over HTTP by default. */
  readonly fetchReportFrom?: typeof fetchFromPeer;
}

/** Number of cells into which the load of a report is divided, beside one for each range. */
const REPORT_CELLS = 12;
/** Far above the cells and ranges of any owner. */
const MAX_REPORT_CELLS = 10_000;
const REPORT_TIMEOUT_MS = 400;
/** Requests in a row without a report after which an owner is given no further keys. */
const MAX_MISSED_REPORTS = 3;
/** Reports older than this are ignored as out of date. */
const MAX_REPORT_AGE_MS = 4000;
/** Assumed capacity in requests per second while no measurement is known. */
const DEFAULT_CAPACITY = 60;

/** Far above the requests per second of any host; a larger sum would lose its precision. */
const MAX_RATE = 1e9;
const MAX_CLASSES = 1000;

const rateSchema = z.number().min(0).max(MAX_RATE);
const keySchema = z.int().min(0).max(KEY_COUNT - 1);

const reportSchema = z.object({
  capacity: z.number().positive().max(MAX_RATE),
  capacityLimit: z.number().positive().max(MAX_RATE).optional(),
  cells: z.array(
    z.object({ from: keySchema, to: keySchema, rate: rateSchema })
      .refine(({ from, to }) => from <= to),
  ).max(MAX_REPORT_CELLS),
  work: z.object({
    slots: z.number().positive().max(MAX_SLOTS),
    classes: z.array(z.object({
      workClass: z.string(),
      runs: z.number().positive().max(MAX_RATE),
      totalMs: rateSchema,
    })).max(MAX_CLASSES),
  }).optional(),
});

/**
 * Decodes the load report of a peer.
 *
 * @param text Body of its response.
 * @returns The report, or undefined if it is malformed.
 */
export const decodeLoadReport = (text: string): LoadReport | undefined => {
  try {
    const parsed = reportSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const LOAD_PATH = 'load';

/** Returns the path of the request for a load report, which names the node that plans moves. */
const encodeLoadRequest = (from: string) => `${LOAD_PATH}?from=${encodeURIComponent(from)}`;

/**
 * Decodes the path of a control message.
 *
 * @param path Path and query of the message.
 * @returns The node that asks for a load report, empty if it names none; undefined if the message
 *   is another one.
 */
export const decodeLoadRequest = (path: string): string | undefined => {
  const [name, query = ''] = path.split('?', 2);
  return name === LOAD_PATH ? new URLSearchParams(query).get('from') ?? '' : undefined;
};

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
    const capacity = capacities.get(report) ?? report.capacity;
    return Math.min(capacity, report.capacityLimit ?? Infinity);
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
  const { clock, node, fetchReportFrom = fetchFromPeer } = options;
  const logger = options.logger.forComponent('load');
  const reports = new Map<string, { readonly report: LoadReport; readonly at: number }>();
  /** Number of requests in a row without a report, by owner. */
  const missed = new Map<string, number>();

  const ownReport = (): LoadReport => ({
    capacity: options.ownCapacity() || DEFAULT_CAPACITY,
    cells: options.load.cells(options.ownRanges(), REPORT_CELLS)
      .map(({ from, to, rate }) => ({ from, to, rate: roundToHundredths(rate) })),
    work: roundWork(options.ownWork()),
    capacityLimit: options.ownCapacityLimit?.(),
  });

  const fetchReport = async (address: string): Promise<LoadReport | undefined> => {
    try {
      const path = encodeLoadRequest(node);
      const { status, text } = await fetchReportFrom(address, path, REPORT_TIMEOUT_MS);
      if (status !== 200) return undefined;
      return decodeLoadReport(text);
    } catch (error) {
      logger.debug({ peer: address, reason: String(error) }, 'failed to fetch a load report');
      return undefined;
    }
  };

  const collect: LoadCollector['collect'] = async (owners) => {
    await Promise.all(owners.map(async ({ owner, address }) => {
      const report = owner.node === node ? ownReport() : await fetchReport(address);
      const key = ownerKey(owner);
      if (report !== undefined) reports.set(key, { report, at: clock.now() });
      missed.set(key, report === undefined ? (missed.get(key) ?? 0) + 1 : 0);
    }));
    const known = new Set(owners.map(({ owner }) => ownerKey(owner)));
    for (const key of reports.keys()) if (!known.has(key)) reports.delete(key);
    for (const key of missed.keys()) if (!known.has(key)) missed.delete(key);
  };

  const isResponsive = (owner: Owner) => (missed.get(ownerKey(owner)) ?? 0) < MAX_MISSED_REPORTS;

  const loadSnapshotOf: LoadCollector['loadSnapshotOf'] = (all) => {
    // Behind an entry that another writer left, nobody answers. When most owners are silent, this
    // node is cut off from them, and tells nothing about them.
    const responsive = all.filter(isResponsive);
    const owners = responsive.length > all.length / 2 ? responsive : all;
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

import type { Clock } from '../clock/mod.ts';
import { divideMaxMin } from './divide_max_min.ts';

/** A request rate and a number of requests in flight: a limit, a demand or a grant. */
export interface LimitValues {
  readonly requestsPerSecond: number;
  readonly inFlight: number;
}

/** The part of a customer's limit that a node may use until the lease ends. */
export interface LimitGrant extends LimitValues {
  readonly validForMs: number;
}

/** Demand of one node for the limit of one customer. */
export interface DemandReport {
  readonly node: string;
  readonly demand: LimitValues;
  readonly limit: LimitValues;
  /** Number of nodes in the fleet. */
  readonly memberCount: number;
  /** Whether to grant at most an even split, as another node may have grants in force. */
  readonly isEvenSplitCapped: boolean;
}

/** Divides the limits of customers between the nodes that report demand. */
export interface AllotmentTable {
  /** Records demand and grants a part of the limit; a report of no demand ends the grant. */
  readonly report: (customer: string, report: DemandReport) => LimitGrant;
  /** Removes nodes that are no longer members. */
  readonly retainNodes: (nodes: ReadonlySet<string>) => void;
}

interface NodeEntry {
  demand: LimitValues;
  granted: LimitValues;
  expiresAt: number;
  removeAt: number;
}

const MIN_LEASE_MS = 4000;
/** The lease grows with the number of nodes, which bounds the reports per second. */
const LEASE_PER_NODE_MS = 30;
/** An entry is kept this long after its grant expires: the node may still use its even split. */
const EXPIRED_GRANT_RETENTION_MS = 60_000;
/** Factor over the reported demand, so that growth between reports is not refused. */
const HEADROOM = 1.25;
/** Keeps sums of fractions such as 3 * (1 / 3) from being rounded down. */
const ROUNDING_SLACK = 1e-9;
const MIN_PART_FRACTION = 0.1;
/** Fraction of the unclaimed limit that is granted; the rest can serve the next report at once. */
const SURPLUS_FRACTION = 0.5;

/** Lease of a grant in ms, when `nodeCount` nodes report demand. */
export const allotmentLeaseMs = (nodeCount: number) => (
  Math.max(MIN_LEASE_MS, nodeCount * LEASE_PER_NODE_MS)
);

type LimitField = keyof LimitValues;

/** Rounds a part so that all rounded parts add up to the exact sum, rounded down. */
const roundedPart = (precedingSum: number, part: number) => (
  Math.floor(precedingSum + part + ROUNDING_SLACK) - Math.floor(precedingSum + ROUNDING_SLACK)
);

/**
 * Creates the table of an allotment node, which divides the limits of its customers. The grants in
 * force for a customer never add up to more than its limit: each grant is capped at what the other
 * grants in force leave.
 *
 * @param clock Clock for the expiry of grants.
 * @returns An empty table.
 *
 * @example
 * const table = createAllotmentTable(clock);
 * const grant = table.report('customer-a', report);
 */
export const createAllotmentTable = (clock: Clock): AllotmentTable => {
  const customers = new Map<string, Map<string, NodeEntry>>();

  const removeStale = (nodes: Map<string, NodeEntry>) => {
    for (const [name, entry] of nodes) if (entry.removeAt <= clock.now()) nodes.delete(name);
  };

  /** What another node may use now: its grant, or its even split once the grant has expired. */
  const usableBy = (entry: NodeEntry, field: LimitField, evenSplit: number) => {
    if (entry.expiresAt > clock.now()) return entry.granted[field];
    return entry.demand[field] > 0 ? evenSplit : 0;
  };

  const computeGrant = (
    field: LimitField,
    nodes: ReadonlyMap<string, NodeEntry>,
    report: DemandReport,
  ) => {
    const limit = report.limit[field];
    const evenSplit = limit / Math.max(1, report.memberCount);
    const names = [...nodes.keys()].sort();
    const ownIndex = names.indexOf(report.node);
    const floor = (limit * MIN_PART_FRACTION) / Math.max(1, names.length);
    // One whole slot per node if the limit has as many, since a fraction cannot be used.
    const minPart = field === 'inFlight' && limit >= names.length ? Math.max(1, floor) : floor;
    const wants = names.map((name) => Math.max(minPart, nodes.get(name)!.demand[field] * HEADROOM));
    const parts = divideMaxMin(limit, wants);
    const surplus = limit - parts.reduce((sum, part) => sum + part, 0);
    // Count the members that have not reported yet, or nothing would be left for their first grant.
    const receivers = Math.max(names.length, report.memberCount);
    const extra = (Math.max(0, surplus) * SURPLUS_FRACTION) / receivers;
    let usableByOthers = 0;
    let precedingSum = 0;
    for (const [index, name] of names.entries()) {
      if (name !== report.node) usableByOthers += usableBy(nodes.get(name)!, field, evenSplit);
      if (index < ownIndex) precedingSum += parts[index]! + extra;
    }
    const exact = parts[ownIndex]! + extra;
    const fair = field === 'inFlight' ? roundedPart(precedingSum, exact) : exact;
    const target = report.isEvenSplitCapped ? Math.min(fair, evenSplit) : fair;
    return Math.max(0, Math.min(target, limit - usableByOthers));
  };

  const report: AllotmentTable['report'] = (customer, demandReport) => {
    const { node, demand } = demandReport;
    const nodes = customers.get(customer) ?? new Map<string, NodeEntry>();
    customers.set(customer, nodes);
    removeStale(nodes);
    if (demand.requestsPerSecond <= 0 && demand.inFlight <= 0) {
      nodes.delete(node);
      if (nodes.size === 0) customers.delete(customer);
      return { requestsPerSecond: 0, inFlight: 0, validForMs: 0 };
    }
    const previous = nodes.get(node);
    const none = { requestsPerSecond: 0, inFlight: 0 };
    nodes.set(node, {
      granted: none, expiresAt: 0, ...previous, demand, removeAt: Infinity,
    });
    const validForMs = allotmentLeaseMs(nodes.size);
    const granted = {
      requestsPerSecond: computeGrant('requestsPerSecond', nodes, demandReport),
      inFlight: computeGrant('inFlight', nodes, demandReport),
    };
    const expiresAt = clock.now() + validForMs;
    nodes.set(node, {
      demand, granted, expiresAt, removeAt: expiresAt + EXPIRED_GRANT_RETENTION_MS,
    });
    return { ...granted, validForMs };
  };

  return {
    report,
    retainNodes: (known) => {
      for (const [customer, nodes] of customers) {
        for (const name of nodes.keys()) if (!known.has(name)) nodes.delete(name);
        if (nodes.size === 0) customers.delete(customer);
      }
    },
  };
};

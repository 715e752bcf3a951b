import type { Clock } from '../clock/mod.ts';
import { divideMaxMin } from './divide_max_min.ts';

/** A rate and a number of requests in flight: a limit, a demand or a part of a limit. */
export interface LimitPart {
  readonly requestsPerSecond: number;
  readonly inFlight: number;
}

/** A part of a customer's limit that a node may use for a time. */
export interface GrantedPart extends LimitPart {
  readonly validForMs: number;
}

/** One report of demand. */
export interface DemandReport {
  readonly node: string;
  readonly demand: LimitPart;
  readonly limit: LimitPart;
  /** Number of nodes in the fleet. */
  readonly memberCount: number;
  /** Grants at most an even split, while another allotment node may have grants outstanding. */
  readonly isCautious: boolean;
}

/** Divides the limits of customers between the nodes that report demand. */
export interface AllotmentTable {
  readonly report: (customer: string, report: DemandReport) => GrantedPart;
  /** Forgets nodes that are no members any more. */
  readonly retainNodes: (nodes: ReadonlySet<string>) => void;
}

interface NodeEntry {
  demand: LimitPart;
  granted: LimitPart;
  expiresAt: number;
  forgetAt: number;
}

const MIN_LEASE_MS = 4000;
/** Lengthens the lease with the number of nodes, so that the reports per second stay bounded. */
const LEASE_PER_NODE_MS = 30;
/** A node whose grant expired without a report may still use its even split. */
const SILENT_MEMORY_MS = 60_000;
/** Headroom over the reported demand, so that growth between reports is not refused. */
const HEADROOM = 1.25;
/** Keeps sums of fractions such as 3 * (1 / 3) from being rounded down. */
const ROUNDING_SLACK = 1e-9;
const FLOOR_FRACTION = 0.1;
/** Part of what nobody asked for that is handed out; the rest serves the next report at once. */
const SURPLUS_FRACTION = 0.5;

/** Time for which a grant is valid when a number of nodes report demand. */
export const allotmentLeaseMs = (nodeCount: number) => (
  Math.max(MIN_LEASE_MS, nodeCount * LEASE_PER_NODE_MS)
);

type LimitField = keyof LimitPart;

/** Rounds parts to whole numbers such that their sum is that of the exact parts, rounded down. */
const wholePart = (before: number, part: number) => (
  Math.floor(before + part + ROUNDING_SLACK) - Math.floor(before + ROUNDING_SLACK)
);

/**
 * Creates the table of the allotment node. The sum of the grants in force for a customer never
 * exceeds its limit: a grant gets no more than what the other grants in force leave.
 *
 * @param clock Clock for the expiry of grants.
 * @returns The table, empty.
 *
 * @example
 * const table = createAllotmentTable(clock);
 * const grant = table.report('customer-a', report);
 */
export const createAllotmentTable = (clock: Clock): AllotmentTable => {
  const customers = new Map<string, Map<string, NodeEntry>>();

  const dropForgotten = (nodes: Map<string, NodeEntry>) => {
    for (const [name, entry] of nodes) if (entry.forgetAt <= clock.now()) nodes.delete(name);
  };

  /** What another node may use now: its grant, or its even split once that has expired. */
  const heldBy = (entry: NodeEntry, field: LimitField, evenPart: number) => {
    if (entry.expiresAt > clock.now()) return entry.granted[field];
    return entry.demand[field] > 0 ? evenPart : 0;
  };

  const partOf = (
    field: LimitField,
    nodes: ReadonlyMap<string, NodeEntry>,
    report: DemandReport,
  ) => {
    const limit = report.limit[field];
    const evenPart = limit / Math.max(1, report.memberCount);
    const names = [...nodes.keys()].sort();
    const ownIndex = names.indexOf(report.node);
    const floor = (limit * FLOOR_FRACTION) / Math.max(1, names.length);
    // A whole slot each where the limit has as many, since a fraction cannot be used.
    const least = field === 'inFlight' && limit >= names.length ? Math.max(1, floor) : floor;
    const wanted = names.map((name) => Math.max(least, nodes.get(name)!.demand[field] * HEADROOM));
    const parts = divideMaxMin(limit, wanted);
    const surplus = limit - parts.reduce((sum, part) => sum + part, 0);
    // Members that have not reported yet count too: their first grant must not find it all given.
    const receivers = Math.max(names.length, report.memberCount);
    const extra = (Math.max(0, surplus) * SURPLUS_FRACTION) / receivers;
    let othersHold = 0;
    let before = 0;
    for (const [index, name] of names.entries()) {
      if (name !== report.node) othersHold += heldBy(nodes.get(name)!, field, evenPart);
      if (index < ownIndex) before += parts[index]! + extra;
    }
    const exact = parts[ownIndex]! + extra;
    const fair = field === 'inFlight' ? wholePart(before, exact) : exact;
    const target = report.isCautious ? Math.min(fair, evenPart) : fair;
    return Math.max(0, Math.min(target, limit - othersHold));
  };

  const report: AllotmentTable['report'] = (customer, demandReport) => {
    const { node, demand } = demandReport;
    const nodes = customers.get(customer) ?? new Map<string, NodeEntry>();
    customers.set(customer, nodes);
    dropForgotten(nodes);
    if (demand.requestsPerSecond <= 0 && demand.inFlight <= 0) {
      nodes.delete(node);
      if (nodes.size === 0) customers.delete(customer);
      return { requestsPerSecond: 0, inFlight: 0, validForMs: 0 };
    }
    const former = nodes.get(node);
    const none = { requestsPerSecond: 0, inFlight: 0 };
    nodes.set(node, {
      granted: none, expiresAt: 0, ...former, demand, forgetAt: Infinity,
    });
    const validForMs = allotmentLeaseMs(nodes.size);
    const granted = {
      requestsPerSecond: partOf('requestsPerSecond', nodes, demandReport),
      inFlight: partOf('inFlight', nodes, demandReport),
    };
    const expiresAt = clock.now() + validForMs;
    nodes.set(node, {
      demand, granted, expiresAt, forgetAt: expiresAt + SILENT_MEMORY_MS,
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

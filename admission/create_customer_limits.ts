import { err, ok, type Result } from 'neverthrow';
import type { CancelTask, Clock } from '../clock/mod.ts';
import type { Contract } from '../contract/mod.ts';
import { PeerError, RefusalError } from '../errors/mod.ts';
import { type Membership, rankByRendezvous } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, ControlValue } from '../proto/mod.ts';
import {
  allotmentLeaseMs, createAllotmentTable, type LimitGrant, type LimitValues,
} from './allotment_table.ts';
import type { CustomerLimits, LimitPermit } from './customer_limits.ts';
import { createLocalLimit, type LocalLimit } from './_local_limit.ts';

/** Options of `createCustomerLimits`. */
export interface CustomerLimitsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly transport: PeerTransport;
  /** Finds the current contract of a customer; the allotment node needs its limits. */
  readonly findContract: (customer: string) => Contract | undefined;
}

interface CustomerState {
  readonly local: LocalLimit;
  limit: LimitValues;
  /** Node that issued the grant. */
  grantedBy: string;
  grant: LimitValues | undefined;
  validForMs: number;
  expiresAt: number;
  reportedAt: number;
  reported: LimitValues;
  isReportInFlight: boolean;
  /** Whether a request was refused since the last report. */
  hasRefused: boolean;
  /** Whether the response to the first report is still outstanding. */
  isFirstReportPending: boolean;
  lastRequestAt: number;
}

const REPORT_INTERVAL_MS = 500;
/** Minimum interval between reports of a customer whose usage is close to its grant. */
const EARLY_REPORT_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 500;
const IDLE_TIMEOUT_MS = 5000;
/** Fraction of the lease after which demand is reported, if requests were refused and if not. */
const REFUSED_REPORT_FRACTION = 0.25;
const REPORT_FRACTION = 0.5;
/** Relative change of demand that is reported early. */
const MIN_CHANGE_FRACTION = 0.2;
const NOISE_LIMIT_FRACTION = 0.02;
/** Part of a customer's limit that a node may use until the response to its first report. */
const INITIAL_RATE_FRACTION = 0.05;
const INITIAL_IN_FLIGHT = 4;
const STATUS_TOO_MANY_REQUESTS = 429;

/** Ignores changes that are small relative to the limit, as many nodes would report noise. */
const isSignificantChange = (before: number, after: number, limit: number) => (
  Math.abs(after - before)
  > Math.max(Math.max(before, after) * MIN_CHANGE_FRACTION, limit * NOISE_LIMIT_FRACTION, 1)
);

const limitOf = ({ limits }: Contract): LimitValues => ({
  requestsPerSecond: limits.requestsPerSecond, inFlight: limits.concurrency,
});

/**
 * Creates the customer limits of one node. The allotment node of a customer, chosen by rendezvous
 * hashing, divides the limit by demand. Without a valid grant, a node uses an even split over the
 * members it knows. It handles the `demand` messages of the transport.
 *
 * @param options Clock, membership, transport and contracts.
 * @returns The limits; call `stop` to end the periodic reports.
 *
 * @example
 * const limits = createCustomerLimits({ clock, membership, transport, findContract });
 * const permit = limits.admit(contract);
 */
export const createCustomerLimits = (options: CustomerLimitsOptions): CustomerLimits => {
  const {
    clock, membership, transport, findContract,
  } = options;
  const self = membership.self().node;
  const table = createAllotmentTable(clock);
  const customers = new Map<string, CustomerState>();
  const allotmentNodes = new Map<string, string>();
  let nodes: readonly string[] = [];
  let nodesChangedAt = -Infinity;
  let isStopped = false;
  let cancelTick: CancelTask = () => undefined;

  const readMembers = () => {
    const latest = membership.members().map(({ node }) => node).sort();
    if (latest.join() === nodes.join()) return;
    if (nodes.length > 0) nodesChangedAt = clock.now();
    nodes = latest;
    allotmentNodes.clear();
    table.retainNodes(new Set(nodes));
  };

  const allotmentNodeOf = (customer: string) => {
    const known = allotmentNodes.get(customer);
    if (known !== undefined) return known;
    const chosen = rankByRendezvous(customer, nodes)[0] ?? self;
    allotmentNodes.set(customer, chosen);
    return chosen;
  };

  const effectiveLimit = (customer: string, state: CustomerState): LimitValues => {
    const { limit, grant } = state;
    // The current allotment node does not know the grants of a previous one.
    const isValid = state.expiresAt > clock.now() && state.grantedBy === allotmentNodeOf(customer);
    if (grant !== undefined && isValid) return grant;
    const evenRate = limit.requestsPerSecond / Math.max(1, nodes.length);
    const evenInFlight = limit.inFlight / Math.max(1, nodes.length);
    if (!state.isFirstReportPending) return { requestsPerSecond: evenRate, inFlight: evenInFlight };
    return {
      requestsPerSecond: Math.max(evenRate, limit.requestsPerSecond * INITIAL_RATE_FRACTION),
      inFlight: Math.max(evenInFlight, Math.min(limit.inFlight, INITIAL_IN_FLIGHT)),
    };
  };

  const handleDemand = (
    { customer, requestsPerSecond, inFlight }: ControlValue<'demand'>,
    node: string,
  ): ControlBody => {
    const contract = findContract(customer);
    if (contract === undefined) {
      return { $case: 'failure', value: { step: 'limits.allot', reason: 'unknown customer' } };
    }
    const granted = table.report(customer, {
      node,
      demand: { requestsPerSecond, inFlight },
      limit: limitOf(contract),
      memberCount: nodes.length,
      // Grants of a previous allotment node may be in force until their lease ends.
      isEvenSplitCapped: clock.now() - nodesChangedAt < allotmentLeaseMs(nodes.length),
    });
    return { $case: 'allotment', value: { customer, ...granted } };
  };

  const requestGrant = async (
    customer: string,
    demand: LimitValues,
  ): Promise<Result<LimitGrant, PeerError>> => {
    const node = allotmentNodeOf(customer);
    const value = { customer, ...demand };
    const address = membership.find(node)?.controlAddress ?? '';
    const response: Result<ControlBody, PeerError> = node === self
      ? ok(handleDemand(value, self))
      : await transport.request(address, { $case: 'demand', value }, {
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
    return response.andThen((body) => (body.$case === 'allotment'
      ? ok(body.value)
      : err(new PeerError('unexpected response', { step: 'limits.demand', peer: address }))));
  };

  const reportDemand = async (customer: string, state: CustomerState) => {
    const sentAt = clock.now();
    const node = allotmentNodeOf(customer);
    const demand = state.local.demand();
    state.local.startPeriod();
    Object.assign(state, {
      isReportInFlight: true, hasRefused: false, reportedAt: sentAt, reported: demand,
    });
    const response = await requestGrant(customer, demand);
    Object.assign(state, { isReportInFlight: false, isFirstReportPending: false });
    if (response.isErr()) return;
    const { validForMs, requestsPerSecond, inFlight } = response.value;
    Object.assign(state, {
      grant: { requestsPerSecond, inFlight },
      grantedBy: node,
      validForMs,
      // Counted from when the report was sent, so that the lease expires here before it expires
      // at the allotment node.
      expiresAt: sentAt + validForMs,
    });
  };

  const hasDemandChanged = ({ local, reported, limit }: CustomerState) => {
    const demand = local.demand();
    return isSignificantChange(
      reported.requestsPerSecond,
      demand.requestsPerSecond,
      limit.requestsPerSecond,
    ) || isSignificantChange(reported.inFlight, demand.inFlight, limit.inFlight);
  };

  const isReportDue = (state: CustomerState) => {
    const age = clock.now() - state.reportedAt;
    const waitMs = state.validForMs
      * (state.hasRefused ? REFUSED_REPORT_FRACTION : REPORT_FRACTION);
    const isRenewalDue = age >= waitMs || state.expiresAt <= clock.now();
    return isRenewalDue || hasDemandChanged(state);
  };

  const tick = () => {
    readMembers();
    for (const [customer, state] of customers) {
      const isIdle = state.local.isIdle() && clock.now() - state.lastRequestAt > IDLE_TIMEOUT_MS;
      if (isIdle) {
        customers.delete(customer);
        requestGrant(customer, { requestsPerSecond: 0, inFlight: 0 });
      } else if (!state.isReportInFlight && isReportDue(state)) reportDemand(customer, state);
    }
    if (!isStopped) cancelTick = clock.schedule(REPORT_INTERVAL_MS, tick);
  };

  const stateOf = (contract: Contract): CustomerState => {
    const known = customers.get(contract.customer);
    const limit = limitOf(contract);
    if (known !== undefined) {
      known.limit = limit;
      return known;
    }
    const initialRate = Math.max(
      limit.requestsPerSecond * INITIAL_RATE_FRACTION,
      limit.requestsPerSecond / Math.max(1, nodes.length),
    );
    const state: CustomerState = {
      local: createLocalLimit(clock, initialRate),
      limit,
      grantedBy: '',
      grant: undefined,
      validForMs: 0,
      expiresAt: 0,
      reportedAt: -Infinity,
      reported: { requestsPerSecond: 0, inFlight: 0 },
      isReportInFlight: false,
      hasRefused: false,
      isFirstReportPending: true,
      lastRequestAt: clock.now(),
    };
    customers.set(contract.customer, state);
    return state;
  };

  const mustReportNow = (state: CustomerState, isNearLimit: boolean) => {
    if (state.isReportInFlight) return false;
    if (state.isFirstReportPending) return true;
    const age = clock.now() - state.reportedAt;
    return isNearLimit && age >= EARLY_REPORT_INTERVAL_MS && hasDemandChanged(state);
  };

  const admit: CustomerLimits['admit'] = (contract) => {
    const { customer } = contract;
    const state = stateOf(contract);
    state.lastRequestAt = clock.now();
    const limit = effectiveLimit(customer, state);
    const refusal = state.local.acquire(limit);
    if (mustReportNow(state, refusal !== undefined || state.local.isNearLimit(limit))) {
      reportDemand(customer, state);
    }
    if (refusal !== undefined) {
      state.hasRefused = true;
      return err(new RefusalError(refusal.reason, {
        step: 'limits.admit',
        status: STATUS_TOO_MANY_REQUESTS,
        outcome: 'not run',
        retryAfterSeconds: Math.max(1, Math.ceil(refusal.waitMs / 1000)),
      }));
    }
    let isHeld = true;
    const permit: LimitPermit = {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        state.local.release();
      },
    };
    return ok(permit);
  };

  readMembers();
  transport.handle('demand', (value, sender) => handleDemand(value, sender.node));
  const removeListener = membership.onChange(readMembers);
  cancelTick = clock.schedule(REPORT_INTERVAL_MS, tick);
  return {
    admit,
    stop: () => {
      isStopped = true;
      cancelTick();
      removeListener();
    },
  };
};

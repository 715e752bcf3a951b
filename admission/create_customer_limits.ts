import { err, ok, type Result } from 'neverthrow';
import type { CancelTask, Clock } from '../clock/mod.ts';
import type { Contract } from '../contract/mod.ts';
import { PeerError, RefusalError } from '../errors/mod.ts';
import { type Membership, rendezvousRank } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, ControlValue } from '../proto/mod.ts';
import {
  allotmentLeaseMs, createAllotmentTable, type GrantedPart, type LimitPart,
} from './allotment_table.ts';
import type { CustomerLimits, LimitTicket } from './customer_limits.ts';
import { createLocalLimit, type LocalLimit } from './_local_limit.ts';

/** Options of the customer limits of a node. */
export interface CustomerLimitsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly transport: PeerTransport;
  /** Contract in force of a customer, as the allotment node needs its limits. */
  readonly findContract: (customer: string) => Contract | undefined;
}

interface CustomerState {
  readonly local: LocalLimit;
  limit: LimitPart;
  /** Node that gave the grant. */
  grantedBy: string;
  grant: LimitPart | undefined;
  validForMs: number;
  expiresAt: number;
  reportedAt: number;
  reported: LimitPart;
  isReporting: boolean;
  /** A request was refused since the last report. */
  isPressed: boolean;
  /** The first answer is still due. */
  isNew: boolean;
  lastSeenAt: number;
}

const REPORT_INTERVAL_MS = 500;
/** Least time between two reports of a customer whose use comes close to its part. */
const EARLY_REPORT_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 500;
const IDLE_MS = 5000;
/** Part of the lease after which demand is reported, with and without refusals since. */
const PRESSED_FRACTION = 0.25;
const IDLE_FRACTION = 0.5;
/** Change of demand that is reported before its time. */
const CHANGE_FRACTION = 0.2;
const NOISE_FRACTION = 0.02;
/** What a node may use of a customer's limit until the first answer. */
const FIRST_FRACTION = 0.05;
const FIRST_IN_FLIGHT = 4;
const STATUS_TOO_MANY = 429;

/** Ignores changes that are small beside the limit, or each of many nodes would report noise. */
const hasChanged = (before: number, after: number, limit: number) => (
  Math.abs(after - before)
  > Math.max(Math.max(before, after) * CHANGE_FRACTION, limit * NOISE_FRACTION, 1)
);

const limitOf = ({ limits }: Contract): LimitPart => ({
  requestsPerSecond: limits.requestsPerSecond, inFlight: limits.concurrency,
});

/**
 * Creates the limits of customers on one node. A customer's allotment node divides the limit by
 * demand; without a valid allotment a node uses an even split over the members it knows.
 *
 * @param options Clock, membership, transport and contracts. It handles `demand` messages.
 * @returns The limits.
 *
 * @example
 * const limits = createCustomerLimits({ clock, membership, transport, findContract });
 * const ticket = limits.admit(contract);
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
    const chosen = rendezvousRank(customer, nodes)[0] ?? self;
    allotmentNodes.set(customer, chosen);
    return chosen;
  };

  const partOf = (customer: string, state: CustomerState): LimitPart => {
    const { limit, grant } = state;
    // A grant of a former allotment node is unknown to the present one.
    const isValid = state.expiresAt > clock.now() && state.grantedBy === allotmentNodeOf(customer);
    if (grant !== undefined && isValid) return grant;
    const evenRate = limit.requestsPerSecond / Math.max(1, nodes.length);
    const evenInFlight = limit.inFlight / Math.max(1, nodes.length);
    if (!state.isNew) return { requestsPerSecond: evenRate, inFlight: evenInFlight };
    return {
      requestsPerSecond: Math.max(evenRate, limit.requestsPerSecond * FIRST_FRACTION),
      inFlight: Math.max(evenInFlight, Math.min(limit.inFlight, FIRST_IN_FLIGHT)),
    };
  };

  const answerDemand = (
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
      // A former allotment node may have grants in force until their lease ends.
      isCautious: clock.now() - nodesChangedAt < allotmentLeaseMs(nodes.length),
    });
    return { $case: 'allotment', value: { customer, ...granted } };
  };

  const askForGrant = async (
    customer: string,
    demand: LimitPart,
  ): Promise<Result<GrantedPart, PeerError>> => {
    const node = allotmentNodeOf(customer);
    const value = { customer, ...demand };
    const address = membership.find(node)?.controlAddress ?? '';
    const answer: Result<ControlBody, PeerError> = node === self
      ? ok(answerDemand(value, self))
      : await transport.request(address, { $case: 'demand', value }, {
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
    return answer.andThen((body) => (body.$case === 'allotment'
      ? ok(body.value)
      : err(new PeerError('unexpected answer', { step: 'limits.demand', peer: address }))));
  };

  const reportDemand = async (customer: string, state: CustomerState) => {
    const sentAt = clock.now();
    const node = allotmentNodeOf(customer);
    const demand = state.local.demand();
    state.local.startPeriod();
    Object.assign(state, {
      isReporting: true, isPressed: false, reportedAt: sentAt, reported: demand,
    });
    const answer = await askForGrant(customer, demand);
    Object.assign(state, { isReporting: false, isNew: false });
    if (answer.isErr()) return;
    const { validForMs, requestsPerSecond, inFlight } = answer.value;
    Object.assign(state, {
      grant: { requestsPerSecond, inFlight },
      grantedBy: node,
      validForMs,
      // The lease counts from the time the report was sent, so it ends here before it ends there.
      expiresAt: sentAt + validForMs,
    });
  };

  const isDemandChanged = ({ local, reported, limit }: CustomerState) => {
    const demand = local.demand();
    return hasChanged(
      reported.requestsPerSecond,
      demand.requestsPerSecond,
      limit.requestsPerSecond,
    ) || hasChanged(reported.inFlight, demand.inFlight, limit.inFlight);
  };

  const isReportDue = (state: CustomerState) => {
    const age = clock.now() - state.reportedAt;
    const waitMs = state.validForMs * (state.isPressed ? PRESSED_FRACTION : IDLE_FRACTION);
    const isAging = age >= waitMs || state.expiresAt <= clock.now();
    return isAging || isDemandChanged(state);
  };

  const tick = () => {
    readMembers();
    for (const [customer, state] of customers) {
      const isIdle = state.local.isIdle() && clock.now() - state.lastSeenAt > IDLE_MS;
      if (isIdle) {
        customers.delete(customer);
        askForGrant(customer, { requestsPerSecond: 0, inFlight: 0 });
      } else if (!state.isReporting && isReportDue(state)) reportDemand(customer, state);
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
    const firstRate = Math.max(
      limit.requestsPerSecond * FIRST_FRACTION,
      limit.requestsPerSecond / Math.max(1, nodes.length),
    );
    const state: CustomerState = {
      local: createLocalLimit(clock, firstRate),
      limit,
      grantedBy: '',
      grant: undefined,
      validForMs: 0,
      expiresAt: 0,
      reportedAt: -Infinity,
      reported: { requestsPerSecond: 0, inFlight: 0 },
      isReporting: false,
      isPressed: false,
      isNew: true,
      lastSeenAt: clock.now(),
    };
    customers.set(contract.customer, state);
    return state;
  };

  const mustReportNow = (state: CustomerState, isPressed: boolean) => {
    if (state.isReporting) return false;
    if (state.isNew) return true;
    const age = clock.now() - state.reportedAt;
    return isPressed && age >= EARLY_REPORT_INTERVAL_MS && isDemandChanged(state);
  };

  const admit: CustomerLimits['admit'] = (contract) => {
    const { customer } = contract;
    const state = stateOf(contract);
    state.lastSeenAt = clock.now();
    const part = partOf(customer, state);
    const refusal = state.local.enter(part);
    if (mustReportNow(state, refusal !== undefined || state.local.isNear(part))) {
      reportDemand(customer, state);
    }
    if (refusal !== undefined) {
      state.isPressed = true;
      return err(new RefusalError(refusal.reason, {
        step: 'limits.admit',
        status: STATUS_TOO_MANY,
        outcome: 'not run',
        retryAfterSeconds: Math.max(1, Math.ceil(refusal.waitMs / 1000)),
      }));
    }
    let isOpen = true;
    const ticket: LimitTicket = {
      release: () => {
        if (!isOpen) return;
        isOpen = false;
        state.local.leave();
      },
    };
    return ok(ticket);
  };

  readMembers();
  transport.handle('demand', (value, sender) => answerDemand(value, sender.node));
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

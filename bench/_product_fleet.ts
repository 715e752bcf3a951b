import {
  type Admission, createAdmission, createCustomerLimits, createRetryBudget, type CustomerLimits,
  type Permit, type RetryBudget,
} from '../admission/mod.ts';
import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import { createFakeNetwork } from '../peer/mod.ts';
import type { Placements } from '../placement/mod.ts';
import { type AttemptReport, createRouter, type Router } from '../routing/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createFakeInstance, type FakeInstance } from './_fake_instance.ts';
import {
  buildContracts, countExecutions, createPlannedMembership, DRAIN_MS, type FleetPlan,
  type FleetRun, HOP_DELAY_MS, measureBusyTime, nodeName, service,
} from './_fleet_plan.ts';
import { type Arrival, createRandom, type RequestResult } from './_load_generator.ts';

interface IngressNode {
  readonly name: string;
  readonly router: Router;
  readonly limits: CustomerLimits;
  readonly retryBudget: RetryBudget;
}

interface Sidecar {
  readonly admission: Admission;
  readonly instance: FakeInstance;
}

type AttemptOutcome = AttemptReport['outcome'];

const MAX_RETRIES = 1;

/** Result for the caller by the outcome of the last attempt. */
const resultOutcomes: Readonly<Record<AttemptOutcome, RequestResult['outcome']>> = {
  success: 'success',
  refused: 'not run',
  failure: 'unknown',
  timeout: 'unknown',
  cancelled: 'unknown',
};

const createIngressNode = (
  plan: FleetPlan,
  clock: FakeClock,
  network: ReturnType<typeof createFakeNetwork>,
  index: number,
  seed: number,
): IngressNode => {
  const name = nodeName(index);
  const membership = createPlannedMembership(plan, clock, index);
  const contracts = buildContracts(plan.customers);
  return {
    name,
    router: createRouter({
      clock,
      membership,
      placements: {
        current: () => undefined, onChange: () => () => undefined,
      } as unknown as Placements,
      slotOf: () => 0,
      logger: noopLogger,
      random: createRandom(seed * 1000 + index),
    }),
    limits: createCustomerLimits({
      clock,
      membership,
      transport: network.connect(name, { node: name, incarnation: '1' }),
      findContract: (customer) => contracts.get(customer),
    }),
    retryBudget: createRetryBudget(),
  };
};

/** Runs a request at the instance; the deadline cancels all but bulk requests. */
const execute = (
  clock: FakeClock,
  { instance }: Sidecar,
  arrival: Arrival,
  permit: Permit,
): Promise<AttemptOutcome> => new Promise((resolve) => {
  let cancelDeadline = () => undefined as void;
  const cancel = instance.execute(arrival.id, arrival.serviceTimeMs, (outcome) => {
    cancelDeadline();
    permit.release(outcome === 'shed' ? 'overload' : 'success');
    resolve(outcome === 'shed' ? 'refused' : 'success');
  });
  // The response to a bulk request starts long before it ends.
  if (arrival.requestClass === 'bulk') return;
  cancelDeadline = clock.schedule(arrival.deadlineAt - clock.now(), () => {
    cancel();
    permit.release('overload');
    resolve('timeout');
  });
});

const createSender = (
  clock: FakeClock,
  sidecars: ReadonlyMap<string, Sidecar>,
) => {
  const attempt = async (arrival: Arrival, node: IngressNode, excluded: ReadonlySet<string>) => {
    const target = node.router.decide({
      requestId: String(arrival.id),
      service,
      key: undefined,
      requestClass: arrival.requestClass,
      excluded,
    });
    if (target.kind !== 'local' && target.kind !== 'peer') return undefined;
    const startedAt = clock.now();
    if (target.kind === 'peer') await clock.sleep(HOP_DELAY_MS);
    const sidecar = sidecars.get(target.instance)!;
    const admitted = await sidecar.admission.acquire({
      requestClass: arrival.requestClass,
      customer: arrival.customer,
      share: arrival.share,
      deadlineAt: arrival.deadlineAt,
      signal: new AbortController().signal,
    });
    const outcome = admitted.isErr()
      ? 'refused'
      : await execute(clock, sidecar, arrival, admitted.value);
    const load = sidecar.admission.load();
    if (target.kind === 'peer') await clock.sleep(HOP_DELAY_MS);
    node.router.report({
      service: service.name,
      instance: target.instance,
      requestClass: arrival.requestClass,
      durationMs: clock.now() - startedAt,
      outcome,
      load,
    });
    return { instance: target.instance, outcome };
  };

  return async (arrival: Arrival, node: IngressNode): Promise<RequestResult['outcome']> => {
    const excluded = new Set<string>();
    node.retryBudget.deposit(arrival.customer);
    for (let retries = 0; ; retries += 1) {
      const attempted = await attempt(arrival, node, excluded);
      if (attempted === undefined) return 'not run';
      const mayRetry = attempted.outcome === 'refused'
        && arrival.requestClass !== 'submission'
        && retries < MAX_RETRIES
        && node.retryBudget.withdraw(arrival.customer);
      if (!mayRetry) return resultOutcomes[attempted.outcome];
      excluded.add(attempted.instance);
    }
  };
};

/**
 * Runs a load on a simulated fleet with the project's admission, router, retry budget and customer
 * limits, on a fake clock.
 *
 * @param plan Nodes, instances and customers.
 * @param arrivals The load.
 * @param seed Seed of the routers' random choices.
 * @returns The results and the measurements of the instances.
 *
 * @example
 * const run = await runProductFleet(plan, arrivals, 1);
 */
export const runProductFleet = async (
  plan: FleetPlan,
  arrivals: readonly Arrival[],
  seed: number,
): Promise<FleetRun> => {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock, { delayMs: HOP_DELAY_MS });
  const contracts = buildContracts(plan.customers);
  const nodes = Array.from({ length: plan.nodeCount }, (_, index) => (
    createIngressNode(plan, clock, network, index, seed)
  ));
  const instances = plan.instances.map((profile) => createFakeInstance(clock, profile));
  const sidecars = new Map(instances.map((instance): [string, Sidecar] => {
    const { name, slots, announcedSlots = slots } = instance.profile;
    const admission = createAdmission({ clock, announcedSlots: () => announcedSlots });
    return [name, { admission, instance }];
  }));
  const send = createSender(clock, sidecars);
  const results: RequestResult[] = [];
  const handleArrival = async (arrival: Arrival) => {
    const node = nodes[Math.floor(arrival.ingressFraction * nodes.length)]!;
    const admitted = node.limits.admit(contracts.get(arrival.customer)!);
    const outcome = admitted.isErr() ? 'not run' : await send(arrival, node);
    if (admitted.isOk()) admitted.value.release();
    results.push({ arrival, outcome, endedAt: clock.now() });
  };
  const readBusyMs = measureBusyTime(clock, plan, instances);
  for (const arrival of arrivals) {
    await clock.advance(arrival.arrivedAt - clock.now());
    handleArrival(arrival);
  }
  for (const node of nodes) node.limits.stop();
  await clock.advance(DRAIN_MS);
  return { results, busyMs: readBusyMs(), executions: countExecutions(instances) };
};

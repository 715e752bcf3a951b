import {
  type Admission, createAdmission, createCustomerLimits, createRetryBudget, type CustomerLimits,
  type Permit, type RetryBudget,
} from '../admission/mod.ts';
import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import { createFakeNetwork } from '../peer/mod.ts';
import type { Placements } from '../placement/mod.ts';
import { type AttemptReport, createRouter, type Router } from '../routing/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { createFakeInstance, type FakeInstance } from './_fake_instance.ts';
import {
  buildContracts, countExecutions, createPlannedMembership, DRAIN_MS, type FleetPlan,
  type FleetRun, HOP_MS, measureBusy, nodeName, service,
} from './_fleet_plan.ts';
import { type Answer, type Arrival, createRandom } from './_load_arrivals.ts';

interface Node {
  readonly name: string;
  readonly router: Router;
  readonly limits: CustomerLimits;
  readonly budget: RetryBudget;
}

interface Sidecar {
  readonly admission: Admission;
  readonly instance: FakeInstance;
}

type AttemptOutcome = AttemptReport['outcome'];

const MAX_RETRIES = 1;

/** Answer to the caller after the last attempt. */
const answerOutcomes: Readonly<Record<AttemptOutcome, Answer['outcome']>> = {
  success: 'success',
  refused: 'not run',
  failure: 'unknown',
  timeout: 'unknown',
  cancelled: 'unknown',
};

const createNode = (
  plan: FleetPlan,
  clock: FakeClock,
  network: ReturnType<typeof createFakeNetwork>,
  index: number,
  seed: number,
): Node => {
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
      logger: silentLogger,
      random: createRandom(seed * 1000 + index),
    }),
    limits: createCustomerLimits({
      clock,
      membership,
      transport: network.connect(name, { node: name, incarnation: '1' }),
      findContract: (customer) => contracts.get(customer),
    }),
    budget: createRetryBudget(),
  };
};

/** Runs the request at the instance; the deadline cancels all but bulk requests. */
const execute = (
  clock: FakeClock,
  { instance }: Sidecar,
  arrival: Arrival,
  permit: Permit,
): Promise<AttemptOutcome> => new Promise((resolve) => {
  let cancelDeadline = () => undefined as void;
  const cancel = instance.execute(arrival.id, arrival.workMs, (end) => {
    cancelDeadline();
    permit.release(end === 'shed' ? 'overload' : 'success');
    resolve(end === 'shed' ? 'refused' : 'success');
  });
  // The answer of a bulk request begins long before its end.
  if (arrival.requestClass === 'bulk') return;
  cancelDeadline = clock.schedule(arrival.deadlineAt - clock.now(), () => {
    cancel();
    permit.release('overload');
    resolve('timeout');
  });
});

const createSend = (
  clock: FakeClock,
  sidecars: ReadonlyMap<string, Sidecar>,
) => {
  const attempt = async (arrival: Arrival, node: Node, excluded: ReadonlySet<string>) => {
    const target = node.router.decide({
      requestId: String(arrival.id),
      service,
      key: undefined,
      requestClass: arrival.requestClass,
      excluded,
    });
    if (target.kind !== 'local' && target.kind !== 'peer') return undefined;
    const startedAt = clock.now();
    if (target.kind === 'peer') await clock.sleep(HOP_MS);
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
    if (target.kind === 'peer') await clock.sleep(HOP_MS);
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

  return async (arrival: Arrival, node: Node): Promise<Answer['outcome']> => {
    const excluded = new Set<string>();
    node.budget.deposit(arrival.customer);
    for (let retries = 0; ; retries += 1) {
      const end = await attempt(arrival, node, excluded);
      if (end === undefined) return 'not run';
      const mayRetry = end.outcome === 'refused'
        && arrival.requestClass !== 'submission'
        && retries < MAX_RETRIES
        && node.budget.withdraw(arrival.customer);
      if (!mayRetry) return answerOutcomes[end.outcome];
      excluded.add(end.instance);
    }
  };
};

/**
 * Runs a load on a fleet with the project's admission, router, retry budget and customer limits,
 * on the fake clock.
 *
 * @param plan Nodes, instances and customers.
 * @param arrivals The load.
 * @param seed Seed of the routers' random choices.
 * @returns The answers and what the instances recorded.
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
  const network = createFakeNetwork(clock, { delayMs: HOP_MS });
  const contracts = buildContracts(plan.customers);
  const nodes = Array.from({ length: plan.nodeCount }, (_, index) => (
    createNode(plan, clock, network, index, seed)
  ));
  const instances = plan.instances.map((profile) => createFakeInstance(clock, profile));
  const sidecars = new Map(instances.map((instance): [string, Sidecar] => {
    const { name, slots, announcedSlots = slots } = instance.profile;
    const admission = createAdmission({ clock, announcedSlots: () => announcedSlots });
    return [name, { admission, instance }];
  }));
  const send = createSend(clock, sidecars);
  const answers: Answer[] = [];
  const handle = async (arrival: Arrival) => {
    const node = nodes[Math.floor(arrival.ingress * nodes.length)]!;
    const ticket = node.limits.admit(contracts.get(arrival.customer)!);
    const outcome = ticket.isErr() ? 'not run' : await send(arrival, node);
    if (ticket.isOk()) ticket.value.release();
    answers.push({ arrival, outcome, endedAt: clock.now() });
  };
  const busy = measureBusy(clock, plan, instances);
  for (const arrival of arrivals) {
    await clock.advance(arrival.at - clock.now());
    handle(arrival);
  }
  for (const node of nodes) node.limits.stop();
  await clock.advance(DRAIN_MS);
  return { answers, busyMs: busy(), executions: countExecutions(instances) };
};

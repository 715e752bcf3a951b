import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import { createFakeInstance, type FakeInstance } from './_fake_instance.ts';
import {
  countExecutions, DRAIN_MS, type FleetPlan, type FleetRun, HOP_MS, measureBusy,
} from './_fleet_plan.ts';
import type { Answer, Arrival } from './_load_arrivals.ts';

interface NaiveSidecar {
  readonly node: number;
  readonly instance: FakeInstance;
  /** Puts a request in the first-come queue. */
  readonly serve: (arrival: Arrival, onEnd: (outcome: 'success' | 'shed') => void) => void;
}

const MAX_RETRIES = 1;
const COMPACT_LENGTH = 1024;

/** One first-come queue in front of the announced slots, without a bound or a reserve. */
const createSidecar = (instance: FakeInstance, node: number): NaiveSidecar => {
  const { slots, announcedSlots = slots } = instance.profile;
  let queue: (() => void)[] = [];
  let head = 0;
  let inFlight = 0;

  const startNext = () => {
    while (inFlight < announcedSlots && head < queue.length) {
      const start = queue[head]!;
      head += 1;
      inFlight += 1;
      start();
    }
    if (head < COMPACT_LENGTH) return;
    queue = queue.slice(head);
    head = 0;
  };

  return {
    node,
    instance,
    serve: (arrival, onEnd) => {
      queue.push(() => {
        instance.execute(arrival.id, arrival.workMs, (outcome) => {
          inFlight -= 1;
          onEnd(outcome);
          startNext();
        });
      });
      startNext();
    },
  };
};

const createSend = (clock: FakeClock, plan: FleetPlan, sidecars: readonly NaiveSidecar[]) => {
  const turns = Array.from({ length: plan.nodeCount }, (_, index) => index);

  const choose = (node: number) => {
    const started = sidecars.filter(({ instance }) => (
      (instance.profile.startsAtMs ?? 0) <= clock.now()
    ));
    const turn = turns[node]!;
    turns[node] = turn + 1;
    return started[turn % started.length]!;
  };

  return (arrival: Arrival, finish: (outcome: Answer['outcome']) => void) => {
    const node = Math.floor(arrival.ingress * plan.nodeCount);
    const attempt = (retries: number) => {
      const sidecar = choose(node);
      const hopMs = sidecar.node === node ? 0 : HOP_MS;
      clock.schedule(hopMs, () => sidecar.serve(arrival, (outcome) => {
        clock.schedule(hopMs, () => {
          if (outcome === 'success') finish('success');
          else if (retries < MAX_RETRIES && arrival.requestClass !== 'submission') {
            attempt(retries + 1);
          } else finish('not run');
        });
      }));
    };
    attempt(0);
  };
};

/**
 * Runs a load on a fleet with round robin, one first-come queue per instance, no reserve, no limits
 * of customers, and one retry after a shed.
 *
 * @param plan Nodes and instances.
 * @param arrivals The load.
 * @returns The answers and what the instances recorded.
 *
 * @example
 * const run = await runNaiveFleet(plan, arrivals);
 */
export const runNaiveFleet = async (
  plan: FleetPlan,
  arrivals: readonly Arrival[],
): Promise<FleetRun> => {
  const clock = createFakeClock();
  const instances = plan.instances.map((profile) => createFakeInstance(clock, profile));
  const send = createSend(clock, plan, instances.map(createSidecar));
  const answers: Answer[] = [];
  const busy = measureBusy(clock, plan, instances);
  for (const arrival of arrivals) {
    await clock.advance(arrival.at - clock.now());
    send(arrival, (outcome) => answers.push({ arrival, outcome, endedAt: clock.now() }));
  }
  await clock.advance(DRAIN_MS);
  return { answers, busyMs: busy(), executions: countExecutions(instances) };
};

import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import { createFakeInstance, type FakeInstance } from './_fake_instance.ts';
import {
  countExecutions, DRAIN_MS, type FleetPlan, type FleetRun, HOP_DELAY_MS, measureBusyTime,
} from './_fleet_plan.ts';
import type { Arrival, RequestResult } from './_load_generator.ts';

interface NaiveSidecar {
  readonly node: number;
  readonly instance: FakeInstance;
  /** Adds a request to the FIFO queue. */
  readonly enqueue: (arrival: Arrival, onEnd: (outcome: 'success' | 'shed') => void) => void;
}

const MAX_RETRIES = 1;
const COMPACTION_LENGTH = 1024;

/** Creates an unbounded FIFO queue for the announced slots; no slots are reserved for a class. */
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
    if (head < COMPACTION_LENGTH) return;
    queue = queue.slice(head);
    head = 0;
  };

  return {
    node,
    instance,
    enqueue: (arrival, onEnd) => {
      queue.push(() => {
        instance.execute(arrival.id, arrival.serviceTimeMs, (outcome) => {
          inFlight -= 1;
          onEnd(outcome);
          startNext();
        });
      });
      startNext();
    },
  };
};

const createSender = (clock: FakeClock, plan: FleetPlan, sidecars: readonly NaiveSidecar[]) => {
  const nextIndexes = Array.from({ length: plan.nodeCount }, (_, index) => index);

  const chooseRoundRobin = (node: number) => {
    const started = sidecars.filter(({ instance }) => (
      (instance.profile.startsAtMs ?? 0) <= clock.now()
    ));
    const nextIndex = nextIndexes[node]!;
    nextIndexes[node] = nextIndex + 1;
    return started[nextIndex % started.length]!;
  };

  return (arrival: Arrival, onResult: (outcome: RequestResult['outcome']) => void) => {
    const node = Math.floor(arrival.ingressFraction * plan.nodeCount);
    const attempt = (retries: number) => {
      const sidecar = chooseRoundRobin(node);
      const hopMs = sidecar.node === node ? 0 : HOP_DELAY_MS;
      clock.schedule(hopMs, () => sidecar.enqueue(arrival, (outcome) => {
        clock.schedule(hopMs, () => {
          if (outcome === 'success') onResult('success');
          else if (retries < MAX_RETRIES && arrival.requestClass !== 'submission') {
            attempt(retries + 1);
          } else onResult('not run');
        });
      }));
    };
    attempt(0);
  };
};

/**
 * Runs a load on a simulated fleet with round-robin routing, one FIFO queue per instance, no
 * reserved slots, no customer limits and one retry of a shed request other than a submission.
 *
 * @param plan Nodes and instances.
 * @param arrivals The load.
 * @returns The results and the measurements of the instances.
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
  const send = createSender(clock, plan, instances.map(createSidecar));
  const results: RequestResult[] = [];
  const readBusyMs = measureBusyTime(clock, plan, instances);
  for (const arrival of arrivals) {
    await clock.advance(arrival.arrivedAt - clock.now());
    send(arrival, (outcome) => results.push({ arrival, outcome, endedAt: clock.now() }));
  }
  await clock.advance(DRAIN_MS);
  return { results, busyMs: readBusyMs(), executions: countExecutions(instances) };
};

import type { Clock } from '../clock/mod.ts';

/** Simulated behaviour of one upstream instance. */
export interface InstanceProfile {
  readonly name: string;
  /** Number of requests that run at the same time. */
  readonly slots: number;
  /** Slots that the instance announces; `slots` by default. */
  readonly announcedSlots?: number;
  /** Service rate relative to a normal instance; 1 by default. */
  readonly speed?: number;
  /** Time at which the instance starts and joins the fleet. */
  readonly startsAtMs?: number;
  /** Cold start: the speed rises linearly from a quarter to its full value over this time. */
  readonly coldMs?: number;
  /** The instance sheds new requests while this many are queued or running. */
  readonly maxOutstanding?: number;
}

/** A simulated upstream instance: workers, one FIFO queue and counts of the requests it started. */
export interface FakeInstance {
  readonly profile: InstanceProfile;
  /**
   * Queues a request; returns a function that cancels it and frees its worker. `serviceTimeMs` is
   * the duration at speed 1.
   */
  readonly execute: (
    id: number,
    serviceTimeMs: number,
    onEnd: (outcome: 'success' | 'shed') => void,
  ) => () => void;
  /** Number of times that each request was started, by request id. */
  readonly executions: ReadonlyMap<number, number>;
  /** Number of requests that are queued or running. */
  readonly outstanding: () => number;
  /** Returns the worker time in ms that was used since the previous call. */
  readonly readAndResetBusyMs: () => number;
}

interface Job {
  readonly id: number;
  readonly serviceTimeMs: number;
  readonly onEnd: (outcome: 'success' | 'shed') => void;
  state: 'queued' | 'running' | 'ended';
  startedAt: number;
  cancelTimer: () => void;
}

const COLD_START_SPEED = 0.25;
const SHED_LATENCY_MS = 0.2;
const COMPACTION_LENGTH = 1024;

/** Number of slots that the instance can use before it sheds load. */
export const usableSlots = ({ slots, maxOutstanding = slots }: InstanceProfile) => (
  Math.min(slots, maxOutstanding)
);

/**
 * Creates a simulated upstream instance.
 *
 * @param clock Clock of the simulation.
 * @param profile Behaviour of the instance.
 * @returns The idle instance.
 *
 * @example
 * const instance = createFakeInstance(clock, { name: 'i1', slots: 6 });
 * const cancel = instance.execute(1, 10, (outcome) => console.log(outcome));
 */
export const createFakeInstance = (clock: Clock, profile: InstanceProfile): FakeInstance => {
  const { slots, speed = 1, startsAtMs = 0 } = profile;
  const executions = new Map<number, number>();
  const running = new Set<Job>();
  let queue: Job[] = [];
  let head = 0;
  let queued = 0;
  let busyMs = 0;
  let countedFromMs = 0;

  const currentSpeed = () => {
    if (profile.coldMs === undefined) return speed;
    const warmUpFraction = Math.min(1, (clock.now() - startsAtMs) / profile.coldMs);
    return speed * (COLD_START_SPEED + (1 - COLD_START_SPEED) * warmUpFraction);
  };

  const endJob = (job: Job) => {
    if (job.state === 'queued') queued -= 1;
    else if (running.delete(job)) {
      busyMs += clock.now() - Math.max(job.startedAt, countedFromMs);
    }
    Object.assign(job, { state: 'ended' });
    job.cancelTimer();
  };

  const startNext = () => {
    while (running.size < slots && head < queue.length) {
      const job = queue[head]!;
      head += 1;
      if (job.state !== 'queued') continue;
      queued -= 1;
      job.state = 'running';
      job.startedAt = clock.now();
      running.add(job);
      executions.set(job.id, (executions.get(job.id) ?? 0) + 1);
      job.cancelTimer = clock.schedule(job.serviceTimeMs / currentSpeed(), () => {
        endJob(job);
        startNext();
        job.onEnd('success');
      });
    }
    if (head < COMPACTION_LENGTH) return;
    queue = queue.slice(head);
    head = 0;
  };

  const execute: FakeInstance['execute'] = (id, serviceTimeMs, onEnd) => {
    if (running.size + queued >= (profile.maxOutstanding ?? Infinity)) {
      return clock.schedule(SHED_LATENCY_MS, () => onEnd('shed'));
    }
    const job: Job = {
      id, serviceTimeMs, onEnd, state: 'queued', startedAt: 0, cancelTimer: () => undefined,
    };
    queue.push(job);
    queued += 1;
    startNext();
    return () => {
      if (job.state === 'ended') return;
      endJob(job);
      startNext();
    };
  };

  return {
    profile,
    execute,
    executions,
    outstanding: () => running.size + queued,
    readAndResetBusyMs: () => {
      const now = clock.now();
      let total = busyMs;
      for (const { startedAt } of running) total += now - Math.max(startedAt, countedFromMs);
      busyMs = 0;
      countedFromMs = now;
      return total;
    },
  };
};

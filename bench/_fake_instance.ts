import type { Clock } from '../clock/mod.ts';

/** Behaviour of one fake upstream instance. */
export interface InstanceProfile {
  readonly name: string;
  readonly slots: number;
  /** Slots that it announces when they differ from those it has. */
  readonly announcedSlots?: number;
  /** Work per unit of time, 1 for the usual instance. */
  readonly speed?: number;
  /** Time at which it starts and joins the fleet. */
  readonly startsAtMs?: number;
  /** After its start, its speed rises from a quarter to the whole over this time. */
  readonly coldMs?: number;
  /** It sheds what arrives while it holds this many requests. */
  readonly shedsAt?: number;
}

/** A fake upstream instance: workers, one first-come queue, and a record of what it ran. */
export interface FakeInstance {
  readonly profile: InstanceProfile;
  /** Sends a request; returns a function that cancels it and frees its worker. */
  readonly execute: (
    id: number,
    workMs: number,
    onEnd: (outcome: 'success' | 'shed') => void,
  ) => () => void;
  /** How often each request was started. */
  readonly executions: ReadonlyMap<number, number>;
  /** Requests that it holds. */
  readonly held: () => number;
  /** Worker time used since the last call. */
  readonly takeBusyMs: () => number;
}

interface Job {
  readonly id: number;
  readonly workMs: number;
  readonly onEnd: (outcome: 'success' | 'shed') => void;
  state: 'queued' | 'running' | 'ended';
  startedAt: number;
  stop: () => void;
}

const COLD_SPEED = 0.25;
const SHED_MS = 0.2;
const COMPACT_LENGTH = 1024;

/** Slots that the instance is willing to use. */
export const usableSlots = ({ slots, shedsAt = slots }: InstanceProfile) => (
  Math.min(slots, shedsAt)
);

/**
 * Creates a fake instance.
 *
 * @param clock Clock of the run.
 * @param profile Behaviour of the instance.
 * @returns The instance, idle.
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
  let countedFrom = 0;

  const speedNow = () => {
    if (profile.coldMs === undefined) return speed;
    const warmth = Math.min(1, (clock.now() - startsAtMs) / profile.coldMs);
    return speed * (COLD_SPEED + (1 - COLD_SPEED) * warmth);
  };

  const settle = (job: Job) => {
    if (job.state === 'queued') queued -= 1;
    else if (running.delete(job)) {
      busyMs += clock.now() - Math.max(job.startedAt, countedFrom);
    }
    Object.assign(job, { state: 'ended' });
    job.stop();
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
      job.stop = clock.schedule(job.workMs / speedNow(), () => {
        settle(job);
        startNext();
        job.onEnd('success');
      });
    }
    if (head < COMPACT_LENGTH) return;
    queue = queue.slice(head);
    head = 0;
  };

  const execute: FakeInstance['execute'] = (id, workMs, onEnd) => {
    if (running.size + queued >= (profile.shedsAt ?? Infinity)) {
      return clock.schedule(SHED_MS, () => onEnd('shed'));
    }
    const job: Job = {
      id, workMs, onEnd, state: 'queued', startedAt: 0, stop: () => undefined,
    };
    queue.push(job);
    queued += 1;
    startNext();
    return () => {
      if (job.state === 'ended') return;
      settle(job);
      startNext();
    };
  };

  return {
    profile,
    execute,
    executions,
    held: () => running.size + queued,
    takeBusyMs: () => {
      const now = clock.now();
      let total = busyMs;
      for (const { startedAt } of running) total += now - Math.max(startedAt, countedFrom);
      busyMs = 0;
      countedFrom = now;
      return total;
    },
  };
};

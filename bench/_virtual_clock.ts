import type { Clock } from '../clock/mod.ts';

/** A clock that moves only when it is advanced, with a heap for the tasks of a large fleet. */
export interface VirtualClock extends Clock {
  readonly advance: (durationMs: number) => Promise<void>;
}

interface Task {
  readonly dueMs: number;
  readonly sequence: number;
  run: (() => void) | undefined;
}

const EPOCH_MS = 1_700_000_000_000;

const isBefore = (left: Task, right: Task) => (
  left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence)
);

const createHeap = () => {
  const tasks: Task[] = [];
  const swap = (left: number, right: number) => {
    const task = tasks[left]!;
    tasks[left] = tasks[right]!;
    tasks[right] = task;
  };
  const sink = () => {
    for (let at = 0; ;) {
      let first = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child < tasks.length && isBefore(tasks[child]!, tasks[first]!)) first = child;
      }
      if (first === at) return;
      swap(at, first);
      at = first;
    }
  };
  return {
    first: () => tasks[0],
    push: (task: Task) => {
      tasks.push(task);
      for (let at = tasks.length - 1; at > 0;) {
        const parent = Math.floor((at - 1) / 2);
        if (!isBefore(tasks[at]!, tasks[parent]!)) return;
        swap(at, parent);
        at = parent;
      }
    },
    pop: () => {
      const last = tasks.pop();
      if (last === undefined || tasks.length === 0) return;
      tasks[0] = last;
      sink();
    },
  };
};

const settle = () => new Promise<void>((resolve) => {
  setImmediate(resolve);
});

/**
 * Creates a virtual clock. The fake clock of the tests searches all tasks for the next one, which
 * takes minutes for some hundred nodes.
 */
export const createVirtualClock = (): VirtualClock => {
  const heap = createHeap();
  let currentMs = 0;
  let sequence = 0;

  const schedule: Clock['schedule'] = (delayMs, run) => {
    const task: Task = { dueMs: currentMs + Math.max(0, delayMs), sequence, run };
    sequence += 1;
    heap.push(task);
    return () => {
      task.run = undefined;
    };
  };

  return {
    now: () => currentMs,
    wallTime: () => EPOCH_MS + currentMs,
    schedule,
    sleep: (durationMs, signal) => new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const end = { cancel: () => undefined as void };
      const finish = () => {
        signal?.removeEventListener('abort', finish);
        end.cancel();
        resolve();
      };
      end.cancel = schedule(durationMs, finish);
      signal?.addEventListener('abort', finish, { once: true });
    }),
    advance: async (durationMs) => {
      const untilMs = currentMs + durationMs;
      await settle();
      for (;;) {
        const task = heap.first();
        if (task === undefined || task.dueMs > untilMs) break;
        heap.pop();
        currentMs = task.dueMs;
        // Tasks of one moment run one by one, so that promise callbacks keep their order.
        if (task.run !== undefined) {
          task.run();
          await settle();
        }
      }
      currentMs = untilMs;
    },
  };
};

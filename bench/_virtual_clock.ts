import type { Clock } from '../clock/mod.ts';

/** A clock whose time moves only in `advance`; it keeps the tasks of a large fleet in a heap. */
export interface VirtualClock extends Clock {
  /** Runs the tasks that become due within the duration, in order. */
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

const createTaskHeap = () => {
  const tasks: Task[] = [];
  const swap = (left: number, right: number) => {
    const task = tasks[left]!;
    tasks[left] = tasks[right]!;
    tasks[right] = task;
  };
  const siftDown = () => {
    for (let index = 0; ;) {
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < tasks.length && isBefore(tasks[child]!, tasks[smallest]!)) smallest = child;
      }
      if (smallest === index) return;
      swap(index, smallest);
      index = smallest;
    }
  };
  return {
    peek: () => tasks[0],
    push: (task: Task) => {
      tasks.push(task);
      for (let index = tasks.length - 1; index > 0;) {
        const parent = Math.floor((index - 1) / 2);
        if (!isBefore(tasks[index]!, tasks[parent]!)) return;
        swap(index, parent);
        index = parent;
      }
    },
    pop: () => {
      const last = tasks.pop();
      if (last === undefined || tasks.length === 0) return;
      tasks[0] = last;
      siftDown();
    },
  };
};

const flushPromises = () => new Promise<void>((resolve) => {
  setImmediate(resolve);
});

/**
 * Creates a virtual clock. The fake clock of the tests finds the next task by a linear search,
 * which takes minutes with several hundred nodes.
 */
export const createVirtualClock = (): VirtualClock => {
  const heap = createTaskHeap();
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
      const timer = { cancel: () => undefined as void };
      const finish = () => {
        signal?.removeEventListener('abort', finish);
        timer.cancel();
        resolve();
      };
      timer.cancel = schedule(durationMs, finish);
      signal?.addEventListener('abort', finish, { once: true });
    }),
    advance: async (durationMs) => {
      const untilMs = currentMs + durationMs;
      await flushPromises();
      for (;;) {
        const task = heap.peek();
        if (task === undefined || task.dueMs > untilMs) break;
        heap.pop();
        currentMs = task.dueMs;
        // Runs tasks with the same due time one by one, so that promise callbacks keep their order.
        if (task.run !== undefined) {
          task.run();
          await flushPromises();
        }
      }
      currentMs = untilMs;
    },
  };
};

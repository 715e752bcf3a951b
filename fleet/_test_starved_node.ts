import { setTimeout as sleep } from 'node:timers/promises';
import {
  listenersOf, type NodeProcess, startNodeProcess,
} from './_test_node_process.ts';

/** One process of a node. */
export interface ProcessRecord {
  readonly startedAt: number;
  /** Time of its first SIGTERM, monotonic in ms. */
  signalledAt?: number;
  endedAt?: number;
  status?: number | string;
  readonly process: NodeProcess;
}

/** How a node is stopped and restarted. */
export interface RestartOptions {
  /** Time in ms from the first SIGTERM to another one; by default, there is only one. */
  readonly repeatAfterMs?: number | undefined;
  /** Time in ms from the exit of the process to the start of the next one. */
  readonly restartAfterMs: number;
}

/** A node whose process can be suspended by turns, and is restarted after each stop. */
export interface StarvedNode {
  readonly name: string;
  readonly listeners: ReturnType<typeof listenersOf>;
  readonly processes: readonly ProcessRecord[];
  /** Suspends the process for a time in ms of each 100 ms, beginning after a time in ms. */
  readonly starve: (afterMs: number, suspendedMs: number) => void;
  /** Stops the node as the platform does, and resolves once it has been restarted. */
  readonly restart: (options: RestartOptions) => Promise<void>;
  /** Sends a signal to the process, if there is one. */
  readonly signal: (sent: NodeJS.Signals) => void;
  /** Ends the last process by an exception, so that it leaves its trace. */
  readonly end: () => Promise<void>;
  readonly kill: () => Promise<void>;
}

/** Options of {@link startStarvedNode}. */
export interface StarvedNodeOptions {
  readonly name: string;
  readonly failureDomain: string;
  /** Service of the instance on the host; `orders` by default. */
  readonly service?: string;
  readonly host: string;
  readonly storeAddress: string;
  /** Arguments of Node.js itself, such as a limit of the heap. */
  readonly runtimeArguments?: readonly string[];
  /** Arguments that run the program and the trace; by default, they load them from sources. */
  readonly programArguments?: readonly string[];
  /** Suspends no process until it has started; by default, starting ones are suspended, too. */
  readonly isStartSpared?: boolean;
}

const SOURCE_ARGUMENTS = [
  '--import', 'tsx', '--import', './fleet/_test_connection_trace.ts', 'fleet/main.ts',
] as const;
/** Longer than a round on a machine that is busy; only a round that hangs may meet it. */
const MAX_RUN_MS = 300_000;
const STARTED = '"node: started"';
const PERIOD_MS = 100;
/** The platform kills a process that is still there after its grace time. */
const GRACE_MS = 6000;

/**
 * Starts a node in a process of its own, which is not starved yet.
 *
 * @param options Name, failure domain, first address and store.
 * @returns The node, once it has started.
 */
export const startStarvedNode = async ({
  name, failureDomain, service = 'orders', host, storeAddress, runtimeArguments = [],
  programArguments = SOURCE_ARGUMENTS, isStartSpared = false,
}: StarvedNodeOptions): Promise<StarvedNode> => {
  const processes: ProcessRecord[] = [];
  let timer: NodeJS.Timeout | undefined;

  const start = () => {
    const process = startNodeProcess({
      node: name,
      failureDomain,
      service,
      host,
      storeAddress,
      maxRunMs: MAX_RUN_MS,
      runtimeArguments,
      programArguments,
    });
    const record: ProcessRecord = { startedAt: performance.now(), process };
    processes.push(record);
    process.child.once('exit', (code, signal) => {
      Object.assign(record, { endedAt: performance.now(), status: code ?? signal });
    });
    return record;
  };

  const signal = (sent: NodeJS.Signals) => {
    const last = processes.at(-1);
    if (last !== undefined && last.endedAt === undefined) last.process.child.kill(sent);
  };

  const suspend = (suspendedMs: number) => {
    if (!isStartSpared || processes.at(-1)!.process.log().includes(STARTED)) signal('SIGSTOP');
    timer = setTimeout(() => {
      signal('SIGCONT');
      timer = setTimeout(() => suspend(suspendedMs), PERIOD_MS - suspendedMs);
    }, suspendedMs);
  };

  const first = start();
  await first.process.logged(STARTED);

  return {
    name,
    listeners: listenersOf(host),
    processes,
    starve: (afterMs, suspendedMs) => {
      timer = setTimeout(() => suspend(suspendedMs), afterMs);
    },
    restart: async ({ repeatAfterMs, restartAfterMs }) => {
      const record = processes.at(-1)!;
      record.signalledAt = performance.now();
      signal('SIGTERM');
      const repeat = repeatAfterMs === undefined
        ? undefined : setTimeout(() => signal('SIGTERM'), repeatAfterMs);
      const limit = setTimeout(() => record.process.child.kill('SIGKILL'), GRACE_MS);
      await record.process.ended;
      clearTimeout(repeat);
      clearTimeout(limit);
      await sleep(restartAfterMs);
      await start().process.logged(STARTED);
    },
    signal,
    end: async () => {
      clearTimeout(timer);
      signal('SIGCONT');
      signal('SIGUSR2');
      await processes.at(-1)!.process.ended;
    },
    kill: async () => {
      clearTimeout(timer);
      signal('SIGKILL');
      await processes.at(-1)!.process.ended;
    },
  };
};

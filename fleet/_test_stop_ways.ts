import { writeFileSync, readFileSync } from 'node:fs';
import type { Random } from '../testing/create_random.ts';
import { heapArguments, sendLargeHeads } from './_test_large_heads.ts';
import type { NodeProcess } from './_test_node_process.ts';
import type { StarvedNode } from './_test_starved_node.ts';

/** How the requests of a way reach their instance; callers are at the first node. */
export interface Hop {
  /** Service of the instance beside each node; empty without one. */
  readonly services: readonly string[];
  /** Indexes of the nodes that are stopped at the same time. */
  readonly stopped: readonly number[];
  readonly connections: readonly ConnectionKind[];
}

/** What a caller does with its connection. */
export type ConnectionKind = 'new' | 'kept' | 'half-closed';

/** A kind of request. */
export interface RequestKind {
  readonly prefix: string;
  readonly method: 'GET' | 'POST';
  readonly body?: 'with a length' | 'in chunks';
  readonly isKeyed?: boolean;
  readonly isUnsafe?: boolean;
  /** Whether the instance makes a call of its own while it runs the request. */
  readonly hasCall?: boolean;
  /** Least size of the body of the response. */
  readonly responseBytes?: number;
}

/** What happens beside the stop of a node. */
export interface Beside {
  readonly runtimeArguments?: readonly string[];
  /** Time in ms of each 100 ms for which the process is suspended. */
  readonly suspendedMs?: number;
  /** Exit status of the stopped process; 0 by default. */
  readonly status?: number;
  /** Time in ms after the signal at which `act` is called, at most. */
  readonly actsWithinMs?: number;
  readonly act?: (process: NodeProcess, node: StarvedNode) => unknown;
}

export const GRACE_MS = 6000;
/** What any process of the host reads until then must be answered. */
export const WINDOW_MS = GRACE_MS + 1000;
/** Time limit of all routes. */
export const TIMEOUT_MS = 3000;
const LARGE_BYTES = 200_000;

/** The route of calls that instances make. */
export const CALL_PREFIX = '/calls/';
export const DOWNLOAD_PREFIX = '/files/';

export const hops: Readonly<Record<string, Hop>> = {
  local: {
    services: ['orders', 'ledger'], stopped: [0], connections: ['new', 'kept', 'half-closed'],
  },
  'to a peer': {
    services: ['ledger', 'orders'], stopped: [0], connections: ['new', 'kept', 'half-closed'],
  },
  // A node that does not stop takes a client that ends its side to have left.
  'to a stopped peer': {
    services: ['', 'orders', 'ledger'], stopped: [1, 2], connections: ['new', 'kept'],
  },
};

export const kinds: Readonly<Record<string, RequestKind>> = {
  safe: { prefix: '/reads/', method: 'GET' },
  unsafe: { prefix: '/orders/', method: 'POST', isUnsafe: true },
  keyed: { prefix: '/keyed/', method: 'GET', isKeyed: true },
  'body with a length': {
    prefix: '/orders/', method: 'POST', isUnsafe: true, body: 'with a length',
  },
  'body in chunks': {
    prefix: '/orders/', method: 'POST', isUnsafe: true, body: 'in chunks',
  },
  nested: { prefix: '/reads/nested/', method: 'GET', hasCall: true },
  download: { prefix: DOWNLOAD_PREFIX, method: 'GET', responseBytes: LARGE_BYTES },
};

const changeSettings = ({ child, settingsPath }: NodeProcess) => {
  if (child.exitCode !== null) return;
  const settings = JSON.parse(readFileSync(settingsPath, 'utf8')) as { readonly service: string };
  const service = settings.service === 'orders' ? 'ledger' : 'orders';
  writeFileSync(settingsPath, JSON.stringify({ ...settings, service }));
  child.kill('SIGHUP');
};

export const besides: Readonly<Record<string, Beside>> = {
  nothing: {},
  'a second SIGTERM': { actsWithinMs: 3000, act: ({ child }) => child.kill('SIGTERM') },
  'a reload': { actsWithinMs: 3000, act: changeSettings },
  'an exception': { actsWithinMs: 3000, status: 1, act: ({ child }) => child.kill('SIGUSR2') },
  'a full heap': {
    runtimeArguments: heapArguments,
    act: (_, { listeners }) => sendLargeHeads(listeners.caller, { deadlineMs: TIMEOUT_MS }),
  },
  'a fifth of the processor time': { suspendedMs: 80 },
};

/** One request of a way. */
export interface PlannedRequest {
  readonly id: string;
  readonly kind: string;
  readonly connection: ConnectionKind;
  readonly path: string;
  readonly deadlineMs: number;
  /** Time in ms from each part of the body to the next one. */
  readonly partDelayMs: number;
  readonly key: number;
}

const WORK_MS = [5, 60, 60, 200, 200, 600] as const;
/** Holds a stopping process until the last sixth of its grace time. */
const LONG_WORK_MS = 2500;
/** Requests that are sent later have short deadlines, so that a way ends soon after its window. */
const SHORT_FROM_MS = 5000;
const SHORT_DEADLINE_MS = 1200;
const PART_DELAYS_MS = [0, 10, 60] as const;
const MAX_KEY = 65_535;

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[random(items.length)]!;

/** Draws the times in ms that the requests of a way take; only some ways have long ones. */
export const planWork = (random: Random): readonly number[] => (
  random(3) === 0 ? [...WORK_MS, LONG_WORK_MS] : WORK_MS
);

/** Draws a request; its path tells the instance how long to work. */
export const planRequest = (
  random: Random,
  id: string,
  { connections }: Hop,
  { work = WORK_MS, afterMs = 0 }: {
    readonly work?: readonly number[];
    /** Time in ms after the signal at which the request is sent. */
    readonly afterMs?: number;
  } = {},
): PlannedRequest => {
  const kind = pick(random, Object.keys(kinds));
  const isLate = afterMs >= SHORT_FROM_MS;
  const workMs = pick(random, isLate ? WORK_MS : work);
  const isShort = (random(2) === 0 || isLate) && workMs <= SHORT_DEADLINE_MS / 2;
  return {
    id,
    kind,
    connection: pick(random, connections),
    path: `${kinds[kind]!.prefix}w${workMs}/${id}`,
    deadlineMs: isShort ? SHORT_DEADLINE_MS : TIMEOUT_MS,
    partDelayMs: pick(random, PART_DELAYS_MS),
    key: random(MAX_KEY + 1),
  };
};

/** Returns the time in ms of the work that a path asks for. */
export const workOf = (path: string): number => Number(/\/w(?<ms>\d+)\//u.exec(path)?.[1] ?? 0);

/** Returns the least size of the body of the response to a path. */
export const responseBytesOf = (path: string): number => (
  path.startsWith(DOWNLOAD_PREFIX) ? LARGE_BYTES : 0
);

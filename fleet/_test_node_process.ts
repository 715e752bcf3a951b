import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

/** A node that runs in a process of its own. */
export interface NodeProcess {
  readonly child: ChildProcess;
  readonly settingsPath: string;
  /** Returns the lines of its log. */
  readonly log: () => string;
  /** Resolves once the log contains a text. */
  readonly logged: (text: string) => Promise<void>;
  /** Resolves to the exit status, or the name of the signal that ended the process. */
  readonly ended: Promise<number | string>;
}

/** Options of {@link startNodeProcess}. */
export interface NodeProcessOptions {
  /** First loopback address of the process; its ports are fixed. */
  readonly host: string;
  readonly storeAddress: string;
  readonly node?: string;
  readonly failureDomain?: string;
  /** Service of the instance on the host; `orders` by default. */
  readonly service?: string;
  /** Time in ms after which the process is killed. */
  readonly maxRunMs?: number;
  /** Arguments of Node.js itself, such as a limit of the heap. */
  readonly runtimeArguments?: readonly string[];
  /** Arguments that run the program; by default, they load it from its sources. */
  readonly programArguments?: readonly string[];
}

const DEFAULT_MAX_RUN_MS = 60_000;
const SOURCE_ARGUMENTS = ['--import', 'tsx', 'fleet/main.ts'] as const;

/** Throws an exception that nothing handles at SIGUSR2. */
const throwOnSignal = `data:text/javascript,${encodeURIComponent(`
process.on('SIGUSR2', () => { throw new Error('injected exception'); });
`)}`;

/** Addresses of the listeners of a node process. */
export const listenersOf = (host: string) => ({
  caller: `${host}:7001`,
  peer: `${host}:7002`,
  readiness: `${host}:7003`,
  announcements: `${host}:7004`,
});

/** Formats the settings of a node process; by default, its store does not answer. */
export const formatProcessSettings = (host: string, {
  node = 'host-1', failureDomain = 'd', service, storeAddress = `${host}:7005`,
}: {
  readonly node?: string;
  readonly failureDomain?: string;
  readonly service?: string;
  readonly storeAddress?: string;
} = {}): string => JSON.stringify({
  node,
  region: 'r',
  failureDomain,
  service,
  announceInterval: '200ms',
  bounds: { drain: '2s', grace: '6s' },
  listen: listenersOf(host),
  store: { address: storeAddress, writesPerSecond: 400, readsPerSecond: 2000 },
});

/** Path of what a process may leave at its exit; it becomes the last line of its log. */
export const tracePathOf = (settingsPath: string) => join(dirname(settingsPath), 'trace.json');

/** Starts a node in a process of its own, which throws an exception at SIGUSR2. */
export const startNodeProcess = ({
  host, storeAddress, node = 'host-1', failureDomain = 'd0', service = 'orders',
  maxRunMs = DEFAULT_MAX_RUN_MS, runtimeArguments = [], programArguments = SOURCE_ARGUMENTS,
}: NodeProcessOptions): NodeProcess => {
  const directory = mkdtempSync(join(tmpdir(), 'node-process-'));
  const path = join(directory, 'settings.json');
  writeFileSync(path, formatProcessSettings(host, {
    node, failureDomain, service, storeAddress,
  }));
  const args = [...runtimeArguments, '--import', throwOnSignal, ...programArguments];
  const child = spawn(process.execPath, args, {
    env: { ...process.env, MARJORAMHOLLOW_CONFIG: path }, stdio: ['ignore', 'pipe', 'ignore'],
  });
  const limit = setTimeout(() => child.kill('SIGKILL'), maxRunMs);
  let log = '';
  const checks = new Set<() => void>();
  child.stdout.on('data', (chunk: Buffer) => {
    log += chunk.toString();
    for (const check of checks) check();
  });
  const ended = once(child, 'close').then(([code, signal]) => {
    clearTimeout(limit);
    const tracePath = tracePathOf(path);
    if (existsSync(tracePath)) log += `\n${readFileSync(tracePath, 'latin1')}`;
    rmSync(directory, { recursive: true });
    return (code ?? signal) as number | string;
  });
  return {
    child,
    settingsPath: path,
    log: () => log,
    logged: (text) => new Promise((resolve, reject) => {
      const check = () => {
        if (!log.includes(text)) return;
        checks.delete(check);
        resolve();
      };
      checks.add(check);
      check();
      ended.then((status) => reject(new Error(`ended with ${status} before '${text}'`)), reject);
    }),
    ended,
  };
};

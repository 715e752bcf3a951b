import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { loopbackHost } from '../testing/loopback_host.ts';

const test = suite('node command');

/** Shorter than the stop of a node without requests. */
const SECOND_SIGNAL_MS = 500;
const RUN_LIMIT_MS = 30_000;
const POLL_MS = 2;
/** Port of the first listener that a node binds. */
const CONTROL_PORT = 8280;

/** A loopback address of this process alone. */
const hostOf = (index: number) => loopbackHost(30 + index);

const startNode = (host: string) => {
  const directory = mkdtempSync(join(tmpdir(), 'run-node-'));
  const path = join(directory, 'settings.json');
  writeFileSync(path, JSON.stringify({
    node: 'host-1',
    region: 'r',
    failureDomain: 'd',
    listen: {
      caller: `${host}:8080`,
      peer: `${host}:8180`,
      control: `${host}:${CONTROL_PORT}`,
      operator: `${host}:8380`,
    },
    store: { url: `http://${host}:7000` },
    credentials: {
      fleet: 'the-fleet-credential',
      operator: 'the-operator-credential',
      announce: 'the-announce-credential',
    },
  }));
  const args = ['bin/marjoramhollow.js', 'node', '--settings', path];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const limit = setTimeout(() => child.kill('SIGKILL'), RUN_LIMIT_MS);
  let log = '';
  let onLog = () => undefined as void;
  const started = new Promise<void>((resolve) => {
    onLog = () => {
      if (log.includes('node: started')) resolve();
    };
  });
  child.stdout.on('data', (chunk: Buffer) => {
    log += chunk.toString();
    onLog();
  });
  const ended = once(child, 'close').then(([status, signal]) => {
    clearTimeout(limit);
    rmSync(directory, { recursive: true });
    return (status ?? signal) as number | string;
  });
  return {
    child, started, ended, log: () => log,
  };
};

const isBound = (host: string) => new Promise<boolean>((resolve) => {
  const socket = connect(CONTROL_PORT, host, () => {
    socket.destroy();
    resolve(true);
  });
  socket.on('error', () => resolve(false));
});

/** Sends signals, the first one once the node has started or binds its first listener. */
const stopWith = async (index: number, signals: readonly NodeJS.Signals[], isStarting: boolean) => {
  const host = hostOf(index);
  const node = startNode(host);
  if (isStarting) while (!await isBound(host)) await sleep(POLL_MS);
  else await node.started;
  for (const [position, signal] of signals.entries()) {
    if (position > 0) await sleep(SECOND_SIGNAL_MS);
    node.child.kill(signal);
  }
  assert.is(await node.ended, 0);
  assert.match(node.log(), /node: stopped/u);
  if (signals.length > 1) assert.match(node.log(), /ends: the process ends already/u);
};

addConcurrentTests(test, {
  // The handler of a signal was removed after the first one, so that the next one ended the process
  // by its default action, with requests in flight.
  'a second SIGTERM does not end the node before its graceful stop': () => (
    stopWith(0, ['SIGTERM', 'SIGTERM'], false)
  ),
  // Guards against a signal that ends a node at once after it has begun to accept requests.
  'a SIGTERM while the listeners are bound leads to the graceful stop': () => (
    stopWith(1, ['SIGTERM', 'SIGTERM'], true)
  ),
  // A SIGHUP, as from a terminal that closes, ended the process with requests in flight.
  'a SIGHUP leads to the graceful stop': () => stopWith(2, ['SIGHUP', 'SIGHUP'], false),
  // The default action of a SIGHUP cut the graceful stop short.
  'a SIGHUP after a SIGTERM does not end the node before its graceful stop': () => (
    stopWith(3, ['SIGTERM', 'SIGHUP'], false)
  ),
});

test.run();

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

const test = suite('node command');

/** A loopback address of this process alone. */
const host = `127.3.${Math.floor(process.pid / 250) % 250}.${(process.pid % 250) + 1}`;
/** Shorter than the stop of a node without requests. */
const SECOND_SIGNAL_MS = 500;
const RUN_LIMIT_MS = 30_000;

// The handler of a signal was removed after the first one, so that the next one ended the process
// by its default action, with requests in flight.
test('a second SIGTERM does not end the node before its graceful stop', async () => {
  const directory = mkdtempSync(join(tmpdir(), 'run-node-'));
  const path = join(directory, 'settings.json');
  writeFileSync(path, JSON.stringify({
    node: 'host-1',
    region: 'r',
    failureDomain: 'd',
    listen: {
      caller: `${host}:8080`,
      peer: `${host}:8180`,
      control: `${host}:8280`,
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
  const exited = once(child, 'exit');
  let log = '';
  child.stdout.on('data', (chunk: Buffer) => {
    const before = log;
    log += chunk.toString();
    if (before.includes('node: started') || !log.includes('node: started')) return;
    child.kill('SIGTERM');
    setTimeout(() => child.kill('SIGTERM'), SECOND_SIGNAL_MS);
  });
  const [status, signal] = await exited as [number | null, string | null];
  clearTimeout(limit);
  rmSync(directory, { recursive: true });
  assert.is(signal, null);
  assert.is(status, 0);
  assert.match(log, /node: stopped/u);
  assert.match(log, /ends: the process ends already/u);
});

test.run();

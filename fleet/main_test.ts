import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtempSync, rmSync, unlinkSync, writeFileSync,
} from 'node:fs';
import { open } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { loopbackHost } from '../testing/loopback_host.ts';
import { formatProcessSettings, startNodeProcess } from './_test_node_process.ts';

const test = suite('fleet process');

/** A loopback address of this process alone, as the port of the metrics endpoint is fixed. */
const host = loopbackHost(1);
const settings = formatProcessSettings(host);

const START_LIMIT_MS = 15_000;

/** Starts the process and sends it a signal while it waits for its settings. */
const startWithSignal = async (signal: 'SIGHUP' | 'SIGTERM') => {
  const directory = mkdtempSync(join(tmpdir(), 'fleet-process-'));
  const path = join(directory, 'settings.json');
  execFileSync('mkfifo', [path]);
  const child = spawn(process.execPath, ['--import', 'tsx', 'fleet/main.ts'], {
    env: { ...process.env, MARJORAMHOLLOW_CONFIG: path },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  const started = new Promise<string>((resolve) => {
    child.stdout.on('data', (data: Buffer) => {
      output += data.toString();
      if (output.includes('"node: started"')) resolve('started');
    });
  });
  const ended = once(child, 'exit').then(([code, endSignal]) => `ended: ${code ?? endSignal}`);
  // The open succeeds once the process reads its settings.
  const pipe = await open(path, 'w');
  child.kill(signal);
  unlinkSync(path);
  writeFileSync(path, settings);
  await pipe.write(settings).catch(() => undefined);
  await pipe.close();
  const outcome = await Promise.race([started, ended]);
  child.kill('SIGKILL');
  await ended;
  rmSync(directory, { recursive: true });
  return outcome;
};

// SIGHUP ended a process that was starting, and with it the requests that it had accepted.
test('a SIGHUP during the start does not end the process', async () => {
  assert.is(await startWithSignal('SIGHUP'), 'started');
});

// SIGTERM ended a process that was starting by its default action, without a graceful stop.
test('a SIGTERM before the listeners open ends the process with status 0', async () => {
  assert.is(await startWithSignal('SIGTERM'), 'ended: 0');
});

// A process whose start had failed lived on with open listeners and ignored SIGTERM.
test('a start that fails ends the process', async () => {
  const server = createServer().listen(7001, host);
  await once(server, 'listening');
  const { ended } = startNodeProcess({
    host, storeAddress: `${host}:7005`, maxRunMs: START_LIMIT_MS,
  });
  const status = await ended;
  server.close();
  assert.is(status, 1);
});

// The handler of the signal was removed after the first one, so that the next one ended the process
// with requests in flight.
test('a second SIGTERM does not end the process before its graceful stop', async () => {
  const {
    child, ended, log, logged,
  } = startNodeProcess({ host, storeAddress: `${host}:7005` });
  for (const message of ['node: started', 'node: stopping']) {
    await logged(message);
    child.kill('SIGTERM');
  }
  assert.is(await ended, 0);
  assert.match(log(), /node: no longer accepting requests/u);
});

test.run();

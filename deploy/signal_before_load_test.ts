import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { formatProcessSettings } from '../fleet/_test_node_process.ts';
import { loopbackHost } from '../testing/loopback_host.ts';

const test = suite('signal before the bundle is loaded');

/** A loopback address of this process alone, as the port of the metrics endpoint is fixed. */
const host = loopbackHost(5);
const RUN_LIMIT_MS = 30_000;
const [, runFlags = ''] = /^run = "node (.*) target\/marjoramhollow\.cjs"$/mu
  .exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
const target = mkdtempSync(join(tmpdir(), 'signal-before-load-'));
const cachePath = join(target, 'node.cache');
const settingsPath = join(target, 'settings.json');
let cache: Buffer;

test.before(() => {
  execFileSync(process.execPath, ['deploy/build.mjs', target], { stdio: 'inherit' });
  cache = readFileSync(cachePath);
  writeFileSync(settingsPath, formatProcessSettings(host));
});
test.after(() => rmSync(target, { recursive: true }));

/** Starts the built program and sends it signals while it reads its code cache. */
const startWithSignals = async (signals: readonly NodeJS.Signals[]) => {
  rmSync(cachePath);
  execFileSync('mkfifo', [cachePath]);
  const child = spawn(process.execPath, [
    ...runFlags.split(' '), join(target, 'marjoramhollow.cjs'),
  ], {
    env: { MARJORAMHOLLOW_CONFIG: settingsPath }, stdio: ['ignore', 'pipe', 'inherit'],
  });
  const limit = setTimeout(() => child.kill('SIGKILL'), RUN_LIMIT_MS);
  let output = '';
  const started = new Promise<string>((resolve) => {
    child.stdout.on('data', (data: Buffer) => {
      output += data.toString();
      if (output.includes('"node: started"')) resolve('started');
    });
  });
  const ended = once(child, 'exit').then(([code, signal]) => `ended: ${code ?? signal}`);
  // The open succeeds once the process reads its cache.
  const pipe = await open(cachePath, 'w');
  for (const signal of signals) child.kill(signal);
  await pipe.writeFile(cache).catch(() => undefined);
  await pipe.close();
  const outcome = await Promise.race([started, ended]);
  child.kill('SIGKILL');
  await ended;
  clearTimeout(limit);
  return outcome;
};

// Guards against a SIGHUP that ends a process which starts, by the default action of the signal.
test('a SIGHUP while the bundle is loaded does not end the process', async () => {
  assert.is(await startWithSignals(['SIGHUP']), 'started');
});

// Guards against a SIGTERM that ends a process which starts with the status of a crash.
for (const signals of [['SIGTERM'], ['SIGTERM', 'SIGTERM'], ['SIGHUP', 'SIGTERM']] as const) {
  test(`${signals.join(' and ')} while the bundle is loaded end with status 0`, async () => {
    assert.is(await startWithSignals(signals), 'ended: 0');
  });
}

test.run();

import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { type NodeProcess, startNodeProcess } from './_test_node_process.ts';

const test = suite('settings and signals');

/** Loopback addresses of this process alone, as the ports of a node process are fixed. */
const hostOf = (index: number) => loopbackHost(90 + index);
/** Within the time in which a stopping node waits for callers to learn of it. */
const STOP_PART_MS = 100;

type Change = (node: NodeProcess, text: string) => void;

const changes: Readonly<Record<string, Change>> = {
  changed: ({ settingsPath }, text) => (
    writeFileSync(settingsPath, text.replace('"orders"', '"ledger"'))
  ),
  'half written': ({ settingsPath }, text) => (
    writeFileSync(settingsPath, text.slice(0, text.length / 2))
  ),
  missing: ({ settingsPath }) => rmSync(settingsPath),
  'deeply nested': ({ settingsPath }) => writeFileSync(settingsPath, '['.repeat(1_000_000)),
  'without a usable service': ({ settingsPath }, text) => (
    writeFileSync(settingsPath, text.replace('"orders"', '"\\n"'))
  ),
};

/** What the log of a running node tells of a change. */
const lines: Readonly<Record<string, string>> = {
  changed: 'reloaded the settings', missing: 'cannot read the changed settings',
};

const play = async (index: number, change: Change, line: string) => {
  const node = startNodeProcess({
    host: hostOf(index), storeAddress: `${hostOf(index)}:7005`,
  });
  const { child, settingsPath, logged } = node;
  const text = readFileSync(settingsPath, 'utf8');
  await logged('node: started');
  change(node, text);
  child.kill('SIGHUP');
  await logged(line);
  writeFileSync(settingsPath, text);
  child.kill('SIGHUP');
  await logged('reloaded the settings');
  change(node, text);
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP'] as const) child.kill(signal);
  await logged('node: stopping');
  await sleep(STOP_PART_MS);
  writeFileSync(settingsPath, text);
  child.kill('SIGHUP');
  await sleep(STOP_PART_MS);
  change(node, text);
  child.kill('SIGHUP');
  assert.is(await node.ended, 0);
  const [, leftMs] = /"leftMs":(?<leftMs>-?\d+).*"node: stopped"/u.exec(node.log()) ?? [];
  assert.ok(Number(leftMs) > 0, `stopped ${leftMs} ms before the end of the grace time`);
};

// Guards against a SIGHUP that ends a node, or its graceful stop, for the state of its settings.
addConcurrentTests(test, Object.fromEntries(Object.entries(changes).map(([name, change], index) => [
  `a SIGHUP before, beside and after a SIGTERM with settings: ${name}`,
  () => play(index, change, lines[name] ?? 'rejected the changed settings'),
])));

test.run();

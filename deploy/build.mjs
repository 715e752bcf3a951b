import { execFileSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
// eslint-disable-next-line import-x/extensions -- Node.js loads this file as it is.
import { bundleNode, bundleScript } from './bundle.mjs';

const WARM_UP_TIMEOUT_MS = 60_000;

const target = process.argv[2] ?? 'target';
const cachePath = join(target, 'node.cache');

/** V8 accepts a code cache only under the flags with which it was made. */
const readNodeFlags = () => {
  const [, flags = ''] = /^run = "node (?<flags>.*?) ?target\//mu
    .exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
};

// A cache of an earlier bundle of the same length would be accepted.
rmSync(cachePath, { force: true });
await Promise.all([
  bundleNode(join(target, 'node.js')),
  bundleScript('deploy/start.ts', join(target, 'marjoramhollow.cjs')),
  bundleScript('deploy/warm_up.ts', join(target, 'warm_up.cjs')),
]);
try {
  execFileSync(process.execPath, [...readNodeFlags(), join(target, 'warm_up.cjs')], {
    stdio: ['ignore', 'ignore', 'inherit'], timeout: WARM_UP_TIMEOUT_MS,
  });
} catch (error) {
  rmSync(cachePath, { force: true });
  process.stderr.write(`build: no code cache, a node starts slower: ${error.message}\n`);
}

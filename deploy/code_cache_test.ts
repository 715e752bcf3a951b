import { execFileSync, spawnSync } from 'node:child_process';
import {
  mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

const test = suite('code cache');

const WARNING = 'its code cache is missing or was rejected';
const INVALID_SETTINGS = 2;

const [, runFlags = ''] = /^run = "node (.*) target\/marjoramhollow\.cjs"$/mu
  .exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
const target = mkdtempSync(join(tmpdir(), 'code-cache-'));
const cachePath = join(target, 'node.cache');

/** Runs the built program, which ends at once because it has no settings. */
const run = (flags: readonly string[]) => {
  const { status, stderr } = spawnSync(
    process.execPath,
    [...flags, join(target, 'marjoramhollow.cjs')],
    { encoding: 'utf8', env: {} },
  );
  return { status, isRunning: stderr.includes('MARJORAMHOLLOW_CONFIG: cannot read'), stderr };
};

test.before(() => {
  execFileSync(process.execPath, ['deploy/build.mjs', target], { stdio: 'inherit' });
});
test.after(() => rmSync(target, { recursive: true }));

// V8 rejects a cache in silence, so that every node would compile its code again.
test('the cache of the build is accepted under the flags of the deployment', () => {
  const { status, isRunning, stderr } = run(runFlags.split(' '));
  assert.ok(isRunning);
  assert.is(status, INVALID_SETTINGS);
  assert.not.match(stderr, WARNING);
});

test('the program starts without the cache under other flags', () => {
  const { status, isRunning, stderr } = run([...runFlags.split(' '), '--no-opt']);
  assert.ok(isRunning);
  assert.is(status, INVALID_SETTINGS);
  assert.match(stderr, WARNING);
});

for (const [name, change] of [
  ['truncated', (bytes: Buffer) => bytes.subarray(0, bytes.length / 2)],
  ['empty', () => Buffer.alloc(0)],
  ['of another version', (bytes: Buffer) => Buffer.concat([Buffer.alloc(16), bytes.subarray(16)])],
] as const) {
  test(`the program starts with a cache that is ${name}`, () => {
    const cache = readFileSync(cachePath);
    writeFileSync(cachePath, change(cache));
    const { status, isRunning, stderr } = run(runFlags.split(' '));
    writeFileSync(cachePath, cache);
    assert.ok(isRunning);
    assert.is(status, INVALID_SETTINGS);
    assert.match(stderr, WARNING);
  });
}

test('the program starts without a cache', () => {
  const cache = readFileSync(cachePath);
  rmSync(cachePath);
  const { status, isRunning, stderr } = run(runFlags.split(' '));
  writeFileSync(cachePath, cache);
  assert.ok(isRunning);
  assert.is(status, INVALID_SETTINGS);
  assert.match(stderr, WARNING);
});

test.run();

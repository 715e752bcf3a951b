import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  applyContract, contractOf, runCommand, planHost, startTestFleet, withFile,
} from '../daemon/_test_fleet.ts';
import type { FleetHost } from '../standins/mod.ts';

const test = suite('command-line program');
let fleet: Awaited<ReturnType<typeof startTestFleet>> | undefined;
let host: FleetHost;

test.before(async () => {
  fleet = await startTestFleet([planHost(1, 'ledger'), planHost(2, 'archive')]);
  [host] = fleet.hosts as [FleetHost];
});
test.after(() => fleet?.stop());

const checkFile = (command: string) => (file: string) => runCommand(host, [command, 'check', file]);

const samplePath = (name: string) => fileURLToPath(new URL(`../samples/${name}`, import.meta.url));

test('--help names every command and exits with status 0', async () => {
  const { status, out } = await runCommand(host, ['--help']);
  assert.is(status, 0);
  for (const word of ['node', 'contract apply', 'confirm-lost', 'drain', 'settings check']) {
    assert.ok(out.includes(word), word);
  }
});

test('a usage error exits with status 2 and names the error', async () => {
  const cases: readonly (readonly [readonly string[], RegExp])[] = [
    [['nonsense'], /unknown command: nonsense/u],
    [['contract', 'nonsense'], /unknown command: contract nonsense/u],
    [['constructor'], /unknown command: constructor/u],
    [[], /Usage/u],
    [['status', '--nonsense'], /--nonsense/u],
    [['contract', 'get'], /CUSTOMER is missing/u],
    [['contract', 'apply', samplePath('contracts/djerid.json')], /--revision N is missing/u],
    [['contract', 'apply', 'x', '--revision', '-1'], /revision/u],
    [['contract', 'apply', 'x', '--revision', '1.5'], /whole number/u],
    [['contract', 'apply', 'x', '--revision', ''], /whole number/u],
    [['placement', 'confirm-lost', 'ledger'], /OWNER/u],
    [['settings', 'check', '/nowhere/file'], /cannot read \/nowhere\/file/u],
    [['contract', 'check', '/nowhere/file'], /cannot read \/nowhere\/file/u],
    [['node', '--settings', '/nowhere/file'], /cannot read \/nowhere\/file/u],
    [['status', '--credential-file', '/nowhere/file'], /cannot read \/nowhere\/file/u],
    [['status', '--key', '/nowhere/file'], /--certificate/u],
    [['status', '--key', 'k', '--certificate', 'c', '--authority', 'a'], /cannot read [kca]/u],
  ];
  for (const [args, reason] of cases) {
    const { status, out, error } = await runCommand(host, args);
    assert.is(status, 2, args.join(' '));
    assert.match(error, reason);
    assert.is(out, '');
  }
});

test('an invalid file exits with status 2 and names the invalid field', async () => {
  const settings = JSON.parse(readFileSync(samplePath('settings.json'), 'utf8'));
  settings.listen.peer = 'localhost:1';
  const contract = JSON.parse(readFileSync(samplePath('contracts/djerid.json'), 'utf8'));
  contract.routes[2].deadlineMs = 0;
  const cases: readonly (readonly [string, unknown, RegExp])[] = [
    ['settings', settings, /listen\.peer/u],
    ['settings', { ...settings, extra: 1 }, /extra|listen\.peer/u],
    ['settings', '{', /not valid JSON/u],
    ['contract', contract, /routes\.2\.deadlineMs/u],
    ['contract', '{', /not valid JSON/u],
  ];
  for (const [command, value, reason] of cases) {
    const { status, error } = await withFile(value, checkFile(command));
    assert.is(status, 2);
    assert.match(error, reason);
  }
});

test('the sample settings and contracts are valid', async () => {
  for (const [command, file] of [
    ['settings', 'settings.json'],
    ['contract', 'contracts/djerid.json'],
    ['contract', 'contracts/lembaga.json'],
  ] as const) {
    assert.is((await runCommand(host, [command, 'check', samplePath(file)])).status, 0, file);
  }
});

test('--json prints JSON and nothing else', async () => {
  const queries = [
    'contract list', 'contract get mesh', 'contract status mesh', 'placement show ledger', 'status',
  ];
  for (const query of queries) {
    const { status, out, error } = await runCommand(host, [...query.split(' '), '--json']);
    assert.is(status, 0, query);
    assert.type(JSON.parse(out), 'object');
    assert.is(error, '');
  }
  const unchanged = await withFile(contractOf('mesh'), (file) => (
    runCommand(host, ['contract', 'diff', file, '--json'])
  ));
  assert.equal(JSON.parse(unchanged.out).differences, []);
});

test('a failed call exits with status 1 and prints the reason without the credential', async () => {
  const unknown = await runCommand(host, ['contract', 'get', 'nobody']);
  assert.is(unknown.status, 1);
  assert.match(unknown.error, /nobody/u);
  const refused = await withFile('wrong-credential', (file) => (
    runCommand(host, ['status', '--credential-file', file])
  ));
  assert.is(refused.status, 1);
  assert.match(refused.error, /credential/u);
  assert.not.match(refused.error, /wrong-credential/u);
  const closed = { ...host, node: { ...host.node, addresses: { operator: '127.0.0.1:1' } } };
  const unreachable = await runCommand(closed as FleetHost, ['status']);
  assert.is(unreachable.status, 1);
  assert.match(unreachable.error, /did not respond/u);
});

test('of two applies with the same base revision one wins and one prints the change', async () => {
  const { out } = await runCommand(host, ['contract', 'get', 'mesh', '--json']);
  const { revision } = JSON.parse(out) as { readonly revision: number };
  const results = await Promise.all([2, 3].map((share) => (
    applyContract(host, contractOf('mesh', share), revision, ['--json'])
  )));
  assert.equal(results.map(({ status }) => status).sort(), [0, 3]);
  const winner = results.find(({ status }) => status === 0)!;
  const loser = results.find(({ status }) => status === 3)!;
  const accepted = JSON.parse(winner.out) as { readonly revision: number };
  assert.ok(accepted.revision > revision);
  assert.match(loser.error, `revision in force: ${accepted.revision}`);
  assert.match(loser.error, /"field":"share"/u);
  assert.is(loser.out, '');
});

test.run();

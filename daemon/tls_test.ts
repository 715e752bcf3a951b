import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  runCommand, planHost, send, startTestFleet, tlsFiles, withFile,
} from './_test_fleet.ts';

const test = suite('TLS');
let fleet: Awaited<ReturnType<typeof startTestFleet>> | undefined;

test.after(() => fleet?.stop());

const optionsOf = (name: string) => {
  const { certificateFile, keyFile, authorityFile } = tlsFiles(name);
  return ['--certificate', certificateFile, '--key', keyFile, '--authority', authorityFile];
};

test('with TLS, nodes and operators need both a certificate and a credential', async () => {
  fleet = await startTestFleet([
    planHost(1, 'ledger'), planHost(2, 'archive'),
  ], { tls: tlsFiles('node'), operatorArgs: optionsOf('node') });
  const host = fleet.hosts[1]!;
  const submission = await send(host, '/entries/k1', { method: 'POST', body: 'b' });
  assert.is(submission.json.instance, 'ledger-1');

  const accepted = await runCommand(host, ['status', '--json', ...optionsOf('node')], 'https');
  assert.is(accepted.status, 0, accepted.error);
  assert.is(JSON.parse(accepted.out).length, 2);
  assert.is((await runCommand(host, ['status', ...optionsOf('stranger')], 'https')).status, 1);
  assert.is((await runCommand(host, ['status'], 'https')).status, 1);
  assert.is((await runCommand(host, ['status'])).status, 1);
  const guessed = await withFile('guess', (file) => (
    runCommand(host, ['status', '--credential-file', file, ...optionsOf('node')], 'https')
  ));
  assert.match(guessed.error, /credential is missing or wrong/u);
});

test.run();

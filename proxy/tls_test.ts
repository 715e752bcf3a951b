import { once } from 'node:events';
import { connect as connectTcp } from 'node:net';
import { connect as connectTls } from 'node:tls';
import { fileURLToPath } from 'node:url';
import { Client } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { hopHeaders } from '../forward/mod.ts';
import { loadTlsMaterial, type TlsMaterial } from '../peer/mod.ts';
import {
  call, createHeldUpstream, CREDENTIAL, makeContract, open, startPath, until,
} from './_test_node.ts';

const contract = makeContract([{ path: '/a', class: 'submission' }]);

const load = (name: string): Promise<TlsMaterial> => {
  const fileOf = (file: string) => (
    fileURLToPath(new URL(`../peer/testdata/${file}`, import.meta.url))
  );
  return loadTlsMaterial({
    keyFile: fileOf(`${name}_key.pem`),
    certificateFile: fileOf(`${name}.pem`),
    authorityFile: fileOf('authority.pem'),
  });
};

/** Status of a call to the peer listener, or the reason why there is none. */
const callPeer = async (address: string, credential: string, tls: Partial<TlsMaterial>) => {
  const client = new Client(`https://${address}`, { connect: tls });
  try {
    const headers = { authorization: `Bearer ${credential}`, [hopHeaders.ageMs]: '0' };
    const answer = await client.request({ method: 'POST', path: '/v1/cancel/r', headers });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return 'refused';
  } finally {
    await client.destroy();
  }
};

test('mutual TLS refuses a peer without a certificate of the authority', async () => {
  const [tls, stranger] = await Promise.all([load('node'), load('stranger')]);
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, tls });
  const answered = call(path.callerAddress, '/a', { method: 'POST', body: 'b' });
  await until(() => held.length === 1);
  held[0]!.response.end('done');
  assert.is((await answered).text, 'done');

  const { peerAddress } = path;
  assert.is(await callPeer(peerAddress, CREDENTIAL, { ca: tls.ca }), 'refused');
  assert.is(await callPeer(peerAddress, CREDENTIAL, { ...stranger, ca: tls.ca }), 'refused');
  assert.is(await callPeer(peerAddress, 'guess', tls), 401);
  assert.ok(await callPeer(peerAddress, CREDENTIAL, tls) !== 401);
  assert.is(await callPeer(peerAddress, CREDENTIAL, tls), 200);

  const outsider = await startPath(listener, { contract, tls: stranger });
  outsider.state.decide = path.state.decide;
  assert.not.equal((await call(outsider.callerAddress, '/a', { method: 'POST' })).status, 200);
  assert.is(held.length, 1);
  await Promise.all([path.stop(), outsider.stop()]);
});

test('a stop over TLS finishes what is in flight and does not wait for idle peers', async () => {
  const tls = await load('node');
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, tls });
  const opened = open(path.callerAddress, '/a', { method: 'POST' });
  await until(() => held.length === 1);
  held[0]!.response.write('first');
  const { response } = await opened;
  // Neither connection, before its handshake and before its first request, may delay the stop.
  const port = Number(path.peerAddress.split(':')[1]);
  const silent = connectTcp(port, '127.0.0.1');
  const idle = connectTls({ port, host: '127.0.0.1', ...tls });
  for (const socket of [silent, idle]) socket.on('error', () => undefined).resume();
  await once(idle, 'secureConnect');
  const startedAt = performance.now();
  const stopped = path.peer.stop();
  held[0]!.response.end(' last');
  let text = '';
  for await (const chunk of response) text += String(chunk);
  assert.is(text, 'first last');
  await stopped;
  assert.ok(performance.now() - startedAt < 5000);
  await path.stop();
});

test.run();

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
  call, createManualUpstream, CREDENTIAL, makeContract, open, startNodeWithUpstream, waitUntil,
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

/** Returns the status of a call to the peer listener, or `refused` if the connection failed. */
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

test('mutual TLS refuses a peer without a certificate signed by the authority', async () => {
  const [tls, stranger] = await Promise.all([load('node'), load('stranger')]);
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, tls });
  const answered = call(node.callerAddress, '/a', { method: 'POST', body: 'b' });
  await waitUntil(() => held.length === 1);
  held[0]!.response.end('done');
  assert.is((await answered).text, 'done');

  const { peerAddress } = node;
  assert.is(await callPeer(peerAddress, CREDENTIAL, { ca: tls.ca }), 'refused');
  assert.is(await callPeer(peerAddress, CREDENTIAL, { ...stranger, ca: tls.ca }), 'refused');
  assert.is(await callPeer(peerAddress, 'guess', tls), 401);
  assert.ok(await callPeer(peerAddress, CREDENTIAL, tls) !== 401);
  assert.is(await callPeer(peerAddress, CREDENTIAL, tls), 200);

  const outsider = await startNodeWithUpstream(listener, { contract, tls: stranger });
  outsider.state.decide = node.state.decide;
  assert.not.equal((await call(outsider.callerAddress, '/a', { method: 'POST' })).status, 200);
  assert.is(held.length, 1);
  await Promise.all([node.stop(), outsider.stop()]);
});

test('shutdown over TLS finishes requests in flight and does not wait for idle peers', async () => {
  const tls = await load('node');
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, tls });
  const opened = open(node.callerAddress, '/a', { method: 'POST' });
  await waitUntil(() => held.length === 1);
  held[0]!.response.write('first');
  const { response } = await opened;
  // One connection has no TLS handshake, one no request yet; neither may delay the shutdown.
  const port = Number(node.peerAddress.split(':')[1]);
  const silent = connectTcp(port, '127.0.0.1');
  const idle = connectTls({ port, host: '127.0.0.1', ...tls });
  for (const socket of [silent, idle]) socket.on('error', () => undefined).resume();
  await once(idle, 'secureConnect');
  const startedAt = performance.now();
  const stopped = node.peer.stop();
  held[0]!.response.end(' last');
  let text = '';
  for await (const chunk of response) text += String(chunk);
  assert.is(text, 'first last');
  await stopped;
  assert.ok(performance.now() - startedAt < 5000);
  await node.stop();
});

test.run();

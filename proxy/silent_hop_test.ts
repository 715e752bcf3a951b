import { once } from 'node:events';
import {
  connect, createServer, type Socket,
} from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, createManualUpstream, listen, makeContract, peerTarget, startNodeWithUpstream, waitUntil,
} from './_test_node.ts';

const contract = makeContract([{ path: '/submit', class: 'submission' }]);

/** Starts a TCP proxy whose first connection can be silenced while later ones keep working. */
const startTcpProxy = async (to: string) => {
  const sockets: Socket[] = [];
  let forwardBytes = true;
  let returnBytes = true;
  const server = createServer((inbound) => {
    const outbound = connect(Number(to.split(':')[1]), '127.0.0.1');
    const connection = sockets.length;
    sockets.push(inbound, outbound);
    const isSilent = () => connection === 0;
    inbound.on('data', (chunk) => {
      if (forwardBytes || !isSilent()) outbound.write(chunk);
    });
    outbound.on('data', (chunk) => {
      if (returnBytes || !isSilent()) inbound.write(chunk);
    });
    for (const socket of [inbound, outbound]) socket.on('error', () => undefined);
    inbound.on('close', () => {
      if (!isSilent()) outbound.destroy();
    });
    outbound.on('close', () => inbound.destroy());
  });
  const address = await listen(server);
  return {
    address,
    silence: (direction: 'both' | 'return') => {
      forwardBytes = direction === 'return';
      returnBytes = false;
    },
    stop: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
};

const shortTimeouts = {
  check: 100, lookup: 100, submission: 100, bulk: 100,
};

test('a submission ends as unknown when the peer that runs it crashes', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const tcpProxy = await startTcpProxy(node.peerAddress);
  node.state.decide = () => peerTarget(tcpProxy.address);
  const answer = call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await waitUntil(() => held.length === 1);
  tcpProxy.stop();
  assert.is((await answer).problem.outcome, 'unknown');
  assert.is(held.length, 1);
  await node.stop();
});

test('a submission lost on a silent connection is reported as not run', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, progressTimeouts: shortTimeouts });
  const tcpProxy = await startTcpProxy(node.peerAddress);
  node.state.decide = () => peerTarget(tcpProxy.address);
  tcpProxy.silence('both');
  // The ledger replies `never seen` only once it is older than CANCEL_TRANSIT_MARGIN_MS.
  await new Promise((resolve) => {
    setTimeout(resolve, 1600);
  });
  const answer = await call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.problem.outcome, 'not run');
  assert.is(held.length, 0);
  tcpProxy.stop();
  await node.stop();
});

test('a submission running behind a silent connection is cancelled over a new one', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, progressTimeouts: shortTimeouts });
  const tcpProxy = await startTcpProxy(node.peerAddress);
  node.state.decide = () => peerTarget(tcpProxy.address);
  tcpProxy.silence('return');
  const answer = call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await waitUntil(() => held.length === 1);
  const closed = once(held[0]!.request.socket, 'close');
  const { problem } = await answer;
  assert.is(problem.outcome, 'unknown');
  assert.match(problem.detail!, /running/u);
  await closed;
  assert.is(held.length, 1);
  tcpProxy.stop();
  await node.stop();
});

test('a slow request on a live connection does not run into the progress timeout', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, progressTimeouts: shortTimeouts });
  const answer = call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await waitUntil(() => held.length === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 5 * shortTimeouts.submission);
  });
  held[0]!.response.end('done');
  assert.is((await answer).text, 'done');
  await node.stop();
});

test.run();

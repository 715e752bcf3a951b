import { once } from 'node:events';
import {
  connect, createServer, type Socket,
} from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, createHeldUpstream, listen, makeContract, peerTarget, startPath, until,
} from './_test_node.ts';

const contract = makeContract([{ path: '/submit', class: 'submission' }]);

/** A relay whose connections go silent on command while new ones work. */
const startRelay = async (to: string) => {
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

test('a submission is unknown when the peer that runs it dies', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract });
  const relay = await startRelay(path.peerAddress);
  path.state.decide = () => peerTarget(relay.address);
  const answer = call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await until(() => held.length === 1);
  relay.stop();
  assert.is((await answer).problem.outcome, 'unknown');
  assert.is(held.length, 1);
  await path.stop();
});

test('a submission on a silent connection that never arrived is not run', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, progressTimeouts: shortTimeouts });
  const relay = await startRelay(path.peerAddress);
  path.state.decide = () => peerTarget(relay.address);
  relay.silence('both');
  // The ledger answers `never seen` only once it is older than the margin for a cancellation.
  await new Promise((resolve) => {
    setTimeout(resolve, 1600);
  });
  const answer = await call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.problem.outcome, 'not run');
  assert.is(held.length, 0);
  relay.stop();
  await path.stop();
});

test('a submission that runs behind a silent connection is cancelled by a new one', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, progressTimeouts: shortTimeouts });
  const relay = await startRelay(path.peerAddress);
  path.state.decide = () => peerTarget(relay.address);
  relay.silence('return');
  const answer = call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await until(() => held.length === 1);
  const closed = once(held[0]!.request.socket, 'close');
  const { problem } = await answer;
  assert.is(problem.outcome, 'unknown');
  assert.match(problem.detail!, /running/u);
  await closed;
  assert.is(held.length, 1);
  relay.stop();
  await path.stop();
});

test('a request that takes long on a live connection is not taken for silent', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, progressTimeouts: shortTimeouts });
  const answer = call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  await until(() => held.length === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 5 * shortTimeouts.submission);
  });
  held[0]!.response.end('done');
  assert.is((await answer).text, 'done');
  await path.stop();
});

test.run();

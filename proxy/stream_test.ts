import { once } from 'node:events';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, createManualUpstream, makeContract, open, startNodeWithUpstream, waitUntil,
} from './_test_node.ts';

const contract = makeContract([
  { path: '/bulk', class: 'bulk', maxBodyBytes: 1e9 },
  { path: '/submit', class: 'submission' },
  { path: '/lookup', class: 'lookup' },
]);

const DOWNLOAD_BYTES = 200 * 1024 * 1024;
const CHUNK = Buffer.alloc(65_536, 'x');
/** Room for socket buffers of three loopback hops and stream buffers; far below the download. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

test('a 200 MB download to a slow caller buffers a limited number of bytes', async () => {
  let sentBytes = 0;
  const node = await startNodeWithUpstream((_, response) => {
    const send = () => {
      while (sentBytes < DOWNLOAD_BYTES) {
        sentBytes += CHUNK.length;
        if (!response.write(CHUNK)) {
          response.once('drain', send);
          return;
        }
      }
      response.end();
    };
    send();
  }, { contract });
  const { response } = await open(node.callerAddress, '/bulk');
  const rssBefore = process.memoryUsage().rss;
  let receivedBytes = 0;
  let maxBufferedBytes = 0;
  let maxRssIncrease = 0;
  for await (const chunk of response) {
    receivedBytes += (chunk as Buffer).length;
    maxBufferedBytes = Math.max(maxBufferedBytes, sentBytes - receivedBytes);
    maxRssIncrease = Math.max(maxRssIncrease, process.memoryUsage.rss() - rssBefore);
  }
  assert.is(receivedBytes, DOWNLOAD_BYTES);
  assert.ok(maxBufferedBytes < MAX_BUFFERED_BYTES, `${maxBufferedBytes} bytes in flight`);
  assert.ok(maxRssIncrease < DOWNLOAD_BYTES / 2, `${maxRssIncrease} bytes more memory`);
  await node.stop();
});

test('an upload to an upstream that does not read is paused at the caller', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const socket = connect(Number(node.callerAddress.split(':')[1]), '127.0.0.1');
  socket.on('error', () => undefined);
  const head = `POST /bulk HTTP/1.1\r\nHost: h\r\nContent-Length: ${DOWNLOAD_BYTES}\r\n`;
  socket.write(`${head}Authorization: Bearer caller-token\r\n\r\n`);
  let sentBytes = 0;
  const send = () => {
    do {
      sentBytes += CHUNK.length;
    } while (socket.write(CHUNK) && sentBytes < DOWNLOAD_BYTES);
    if (sentBytes < DOWNLOAD_BYTES) socket.once('drain', send);
  };
  send();
  await waitUntil(() => held.length === 1);
  for (let before = 0; before !== sentBytes;) {
    before = sentBytes;
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
  }
  assert.ok(sentBytes < MAX_BUFFERED_BYTES, `${sentBytes} bytes sent`);
  const aborted = once(held[0]!.request, 'aborted');
  held[0]!.request.on('error', () => undefined).resume();
  socket.destroy();
  await aborted;
  await node.stop();
});

const submission = {
  method: 'POST', body: 'x', headers: { 'idempotency-key': 'k1' },
};

test('a repeated idempotency key gets the response of the first attempt', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const first = call(node.callerAddress, '/submit', submission);
  await waitUntil(() => held.length === 1);
  const second = call(node.callerAddress, '/submit', submission);
  await waitUntil(() => node.ledger.size() === 2);
  held[0]!.response.writeHead(201, { 'x-receipt': '5' }).end('recorded');
  for (const answer of [await first, await second]) {
    assert.is(answer.status, 201);
    assert.is(answer.text, 'recorded');
    assert.is(answer.headers['x-receipt'], '5');
  }
  assert.is((await call(node.callerAddress, '/submit', submission)).text, 'recorded');
  assert.is(held.length, 1);
  await node.stop();
});

test('a repeat of an attempt that ended as unknown is unknown too and does not run', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const first = call(node.callerAddress, '/submit', submission);
  await waitUntil(() => held.length === 1);
  held[0]!.request.socket.destroy();
  assert.is((await first).problem.outcome, 'unknown');
  assert.is((await call(node.callerAddress, '/submit', submission)).problem.outcome, 'unknown');
  assert.is(held.length, 1);
  await node.stop();
});

test('graceful shutdown finishes the request in flight and closes idle connections', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const port = Number(node.callerAddress.split(':')[1]);
  const silent = connect(port, '127.0.0.1');
  await once(silent, 'connect');
  const answer = call(node.callerAddress, '/submit', submission);
  await waitUntil(() => held.length === 1);
  let stopped = false;
  const stopping = Promise.all([node.caller.stop(), node.peer.stop()]).then(() => {
    stopped = true;
  });
  await once(silent, 'close');
  const late = connect(port, '127.0.0.1');
  const [error] = await once(late, 'error') as [NodeJS.ErrnoException];
  assert.is(error.code, 'ECONNREFUSED');
  assert.is(stopped, false);
  held[0]!.response.write('whole ');
  held[0]!.response.end('answer');
  assert.is((await answer).text, 'whole answer');
  await stopping;
  await node.stop();
});

test('requests on open connections to a stopping node get complete responses', async () => {
  const node = await startNodeWithUpstream((_, response) => response.end('ok'), { contract });
  let isStopped = false;
  let answered = 0;
  const callers = Array.from({ length: 8 }, async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      const text = await call(node.callerAddress, '/lookup', { agent }).then(
        (answer) => answer.text,
        (error: NodeJS.ErrnoException) => error.code,
      );
      if (text === 'ECONNREFUSED') return;
      assert.is(text, 'ok');
      answered += 1;
    }
  });
  await waitUntil(() => answered > 50);
  await node.caller.stop();
  isStopped = true;
  await Promise.all(callers);
  await node.stop();
});

test('the peer listener refuses calls without the fleet credential', async () => {
  const node = await startNodeWithUpstream((_, response) => response.end('ok'), { contract });
  const headers = { 'mh-request': 'r1', 'mh-attempt': '1' };
  assert.is((await call(node.peerAddress, '/lookup', { headers })).status, 401);
  const cancel = await call(node.peerAddress, '/v1/cancel/r1.1', { method: 'POST' });
  assert.is(cancel.status, 401);
  await node.stop();
});

test.run();

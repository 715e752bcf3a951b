import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { openConnection } from '../testing/open_connection.ts';
import {
  createManualUpstream, localTarget, makeContract, startNodeWithUpstream, TOKEN, waitUntil,
} from './_test_node.ts';

const test = suite('half-open connections of callers');

const contract = makeContract([
  { path: '/submit', class: 'submission' },
  { path: '/lookup', class: 'lookup' },
]);

/** Time within which a run is cancelled. */
const NOTICE_MS = 100;

const hops = ['local', 'peer'] as const;

const requests = {
  submission: 'POST /submit HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n',
  lookup: 'GET /lookup HTTP/1.1\r\nHost: h\r\n',
};

/** Sends a request, and resolves once it has reached the upstream. */
const setUp = async (hop: typeof hops[number], kind: keyof typeof requests) => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  if (hop === 'local') node.state.decide = () => localTarget();
  const connection = openConnection(node.callerAddress);
  const body = kind === 'submission' ? 'order' : '';
  connection.socket.write(`${requests[kind]}Authorization: Bearer ${TOKEN}\r\n\r\n${body}`);
  await waitUntil(() => held.length === 1);
  let isCancelled = false;
  const { response } = held[0]!;
  const cancelled = once(response, 'close').then(() => {
    isCancelled = !response.writableFinished;
  });
  return {
    ...connection, node, response, cancelled, isCancelled: () => isCancelled,
  };
};

for (const hop of hops) {
  for (const kind of ['submission', 'lookup'] as const) {
    // A FIN broke off the run of a request that was in flight when its node began to stop.
    test(`${hop}, ${kind}: a FIN during a stop leaves the request its answer`, async () => {
      const {
        node, socket, response, cancelled, isCancelled, closed, received,
      } = await setUp(hop, kind);
      const stopped = node.caller.stop();
      socket.end();
      await Promise.race([cancelled, sleep(NOTICE_MS)]);
      assert.is(isCancelled(), false);
      response.end('done');
      await closed;
      await stopped;
      assert.match(received(), /^HTTP\/1\.1 200 [^]*done/u);
      await node.stop();
    });

    test(`${hop}, ${kind}: a FIN at a running node cancels the run`, async () => {
      const {
        node, socket, cancelled, isCancelled,
      } = await setUp(hop, kind);
      socket.end();
      await cancelled;
      assert.ok(isCancelled());
      await node.stop();
    });
  }
}

test.run();

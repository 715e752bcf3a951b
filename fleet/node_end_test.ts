import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { splitAddress } from '../http/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { type PlatformInstance, startPlatformInstance } from '../standins/mod.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';
import { listenersOf, type NodeProcess, startNodeProcess } from './_test_node_process.ts';
import { sendTestRequest } from './_test_requests.ts';

const test = suite('end of a node');

/** A loopback address of this process alone, as the ports of a node process are fixed. */
const host = loopbackHost(2);
const listeners = listenersOf(host);
const METRICS_PORT = 9464;
const WORK_MS = 400;
/** Work that lasts longer than the end of a node whose requests are all cancelled. */
const LONG_WORK_MS = 2000;
const REQUESTS = 5;
/** Successive batches of requests that must be answered before a test begins. */
const WARM_BATCHES = 3;
const DEADLINE_MS = 3000;
const POLL_MS = 20;

let fleet: LoopbackFleet;
let node: NodeProcess | undefined;
let instance: PlatformInstance | undefined;

test.before.each(async () => {
  fleet = await startLoopbackFleet([], { timeoutMs: DEADLINE_MS });
});

test.after.each(async () => {
  instance?.kill();
  instance = undefined;
  node?.child.kill('SIGKILL');
  await node?.ended;
  node = undefined;
  await fleet.stop();
});

const send = async (id: string) => {
  const answer = await sendTestRequest(listeners.caller, `/reads/${id}`, {
    id, deadlineMs: DEADLINE_MS,
  });
  return answer.status === 0 ? answer.text : String(answer.status);
};

/** Starts a node and an instance that serves. */
const startServing = async () => {
  const work = { workMs: WORK_MS };
  node = startNodeProcess({ host, storeAddress: fleet.server.address });
  await node.logged('"node: started"');
  instance = await startPlatformInstance({
    service: 'orders',
    announceAddress: listeners.announcements,
    get workMs() {
      return work.workMs;
    },
  });
  // A node that has just started takes long for its first requests, and refuses some of them.
  let batchesAnswered = 0;
  for (let attempt = 0; batchesAnswered < WARM_BATCHES; attempt += 1) {
    assert.ok(attempt < 100, 'the instance is not reached');
    const results = await Promise.all(Array.from({ length: REQUESTS }, (_, index) => (
      send(`warm-${attempt}-${index}`)
    )));
    batchesAnswered = results.every((result) => result === '200') ? batchesAnswered + 1 : 0;
    await sleep(POLL_MS);
  }
  const setWork = (workMs: number) => {
    work.workMs = workMs;
  };
  return { node, instance, setWork };
};

/** Sends requests on connections of their own, and resolves once the instance runs them. */
const connectUntilRunning = async (running: () => number) => {
  const connections = Array.from({ length: REQUESTS }, (_, index) => {
    const connection = openConnection(listeners.caller);
    connection.socket.write([
      `GET /reads/raw-${index} HTTP/1.1`, 'host: shop.example', `request-id: raw-${index}`,
      `deadline-ms: ${DEADLINE_MS}`, '\r\n',
    ].join('\r\n'));
    return connection;
  });
  for (let waitedMs = 0; running() < REQUESTS; waitedMs += 1) {
    if (waitedMs === DEADLINE_MS) {
      const texts = connections.map(({ received }) => received());
      assert.unreachable(`not run: ${texts.join()}\n${node?.log()}`);
    }
    await sleep(1);
  }
  return connections;
};

/** Sends requests and resolves once the instance runs them, to their later results. */
const sendUntilRunning = async (running: () => number) => {
  const results = Array.from({ length: REQUESTS }, (_, index) => send(`request-${index}`));
  for (let waitedMs = 0; running() < REQUESTS; waitedMs += 1) {
    if (waitedMs === DEADLINE_MS) {
      assert.unreachable(`not run: ${(await Promise.all(results)).join()}\n${node?.log()}`);
    }
    await sleep(1);
  }
  return results;
};

const answered = Array.from({ length: REQUESTS }, () => '200');

// Guards against an exception that closes all connections at once, without a byte of an answer to
// requests that the instance runs.
test('an exception ends the node only after the requests in flight were answered', async () => {
  const started = await startServing();
  const results = await sendUntilRunning(started.instance.running);
  started.node.child.kill('SIGUSR2');
  assert.equal(await Promise.all(results), answered);
  assert.is(await started.node.ended, 1);
  assert.match(started.node.log(), /injected exception/u);
});

// Guards against the same end while the node stops.
test('an exception during a stop leaves the requests in flight their answers', async () => {
  const started = await startServing();
  const results = await sendUntilRunning(started.instance.running);
  started.node.child.kill('SIGTERM');
  await started.node.logged('node: stopping');
  started.node.child.kill('SIGUSR2');
  assert.equal(await Promise.all(results), answered);
  assert.is(await started.node.ended, 1);
});

// Guards against a node that waits after an exception for the runs of clients that have left, which
// its instance goes on with.
test('a FIN after an exception cancels the run and does not delay the exit', async () => {
  const started = await startServing();
  started.setWork(LONG_WORK_MS);
  const connections = await connectUntilRunning(started.instance.running);
  started.node.child.kill('SIGUSR2');
  await started.node.logged('node: stopping');
  for (const { socket } of connections) socket.end();
  assert.is(await started.node.ended, 1);
  assert.is(started.instance.running(), REQUESTS, 'the exit came after the end of the work');
  assert.equal(connections.map(({ received }) => received()).join(''), '');
  assert.is(started.node.log().split('"outcome":"gone"').length - 1, REQUESTS);
});

// Guards against a planned stop that cancels runs whose answers its half-open clients wait for.
for (const [order, logged] of [
  [['SIGTERM', 'SIGUSR2'], 'first":"signal'], [['SIGUSR2', 'SIGTERM'], 'first":"exception'],
] as const) {
  test(`${order.join(', then ')}: a FIN leaves the request its answer`, async () => {
    const started = await startServing();
    started.setWork(LONG_WORK_MS);
    const connections = await connectUntilRunning(started.instance.running);
    started.node.child.kill(order[0]);
    await started.node.logged('node: stopping');
    started.node.child.kill(order[1]);
    await started.node.logged(logged);
    for (const { socket } of connections) socket.end();
    assert.is(await started.node.ended, 1);
    for (const { received } of connections) assert.match(received(), /^HTTP\/1\.1 200 /u);
  });
}

// Guards against a start that accepts callers and then fails, which closes their connections.
test('a start that fails since a port is taken has accepted no caller', async () => {
  const taken = createServer().listen(METRICS_PORT, host);
  await once(taken, 'listening');
  let acceptedCount = 0;
  const countAccepted = () => {
    acceptedCount += 1;
  };
  let isOver = false;
  const knock = async () => {
    const address = splitAddress(listeners.caller);
    while (!isOver) {
      const socket = connect(address.port, address.host);
      socket.on('error', () => undefined).once('connect', countAccepted);
      await sleep(1);
      if (socket.connecting) socket.destroy();
    }
  };
  const knocking = knock();
  node = startNodeProcess({ host, storeAddress: fleet.server.address });
  assert.is(await node.ended, 1);
  isOver = true;
  await knocking;
  taken.close();
  assert.is(acceptedCount, 0);
});

test.run();

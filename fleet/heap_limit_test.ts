import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type PlatformInstance, startPlatformInstance } from '../standins/mod.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { openConnection } from '../testing/open_connection.ts';
import { FILLER, heapArguments, sendLargeHeads } from './_test_large_heads.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';
import { listenersOf, type NodeProcess, startNodeProcess } from './_test_node_process.ts';
import { sendTestRequest } from './_test_requests.ts';

const test = suite('heap limit of a node');

/** A loopback address of this process alone, as the ports of a node process are fixed. */
const host = loopbackHost(4);
const listeners = listenersOf(host);
const WORK_MS = 1500;
const REQUESTS = 4;
const DEADLINE_MS = 4000;
/** Time in ms within which a node serves again once the large requests have ended. */
const MAX_RECOVERY_MS = 5000;
/** Connections on which many requests are sent at once, all of whose heads exceed the heap. */
const PIPELINES = 24;
const PIPELINED_REQUESTS = 100;
const HOP = JSON.stringify(['orders', 'safe', 0, 'safe/0/300', DEADLINE_MS, 300, null, null, 0]);
const POLL_MS = 20;

let fleet: LoopbackFleet;
let node: NodeProcess | undefined;
let instance: PlatformInstance | undefined;
const sockets: Socket[] = [];

test.before.each(async () => {
  fleet = await startLoopbackFleet([], { timeoutMs: DEADLINE_MS });
});

test.after.each(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
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

const startServing = async () => {
  node = startNodeProcess({
    host, storeAddress: fleet.server.address, runtimeArguments: heapArguments,
  });
  await node.logged('"node: started"');
  instance = await startPlatformInstance({
    service: 'orders', announceAddress: listeners.announcements, workMs: WORK_MS,
  });
  for (let attempt = 0; await send(`first-${attempt}`) !== '200'; attempt += 1) {
    assert.ok(attempt < 100, 'the instance is not reached');
    await sleep(POLL_MS);
  }
  return { node, instance };
};

const sendUntilRunning = async (running: () => number) => {
  const results = Array.from({ length: REQUESTS }, (_, index) => send(`request-${index}`));
  for (let waitedMs = 0; running() < REQUESTS; waitedMs += POLL_MS) {
    assert.ok(waitedMs < DEADLINE_MS, `not run\n${node?.log()}`);
    await sleep(POLL_MS);
  }
  return results;
};

/** Sends large heads; returns the answers to them. */
const sendLarge = async (address: string) => {
  const headers = address === listeners.peer ? [`mh-hop: ${HOP}`] : [];
  const connections = await sendLargeHeads(address, { deadlineMs: DEADLINE_MS, headers });
  sockets.push(...connections.map(({ socket }) => socket));
  return () => connections.map(({ received }) => received()).filter((text) => text !== '');
};

/** Formats a request without a body. */
const formatRequest = (address: string, id: string, filler: string) => [
  'GET /reads/pipelined HTTP/1.1',
  'host: shop.example',
  `request-id: ${id}`,
  `deadline-ms: ${DEADLINE_MS}`,
  ...(address === listeners.peer ? [`mh-hop: ${HOP}`] : []),
  `filler: ${filler}`,
  '\r\n',
].join('\r\n');

/** Sends requests with large heads behind a small one that runs; returns what was received. */
const sendPipelinedRequests = (address: string) => (
  Array.from({ length: PIPELINES }, (_, pipeline) => {
    const { socket, received } = openConnection(address);
    sockets.push(socket);
    socket.write(Array.from({ length: PIPELINED_REQUESTS }, (__, index) => (
      formatRequest(address, `pipelined-${pipeline}-${index}`, index === 0 ? '' : FILLER)
    )).join(''));
    return received;
  })
);

/** Describes the node for the message of a failed check. */
const describeNode = ({ child, log }: NodeProcess) => [
  `status ${child.exitCode}, signal ${child.signalCode}`,
  ...log().split('\n').filter((line) => line.includes('"heap: ')),
].join('\n');

const answered = Array.from({ length: REQUESTS }, () => '200');

const phases = ['running', 'stopping'] as const;

const enterPhase = async (phase: typeof phases[number], { child, logged }: NodeProcess) => {
  if (phase === 'running') return;
  child.kill('SIGTERM');
  await logged('node: stopping');
};

// Guards against a heap limit that aborts the process, without a byte of an answer to requests that
// the instance runs.
for (const phase of phases) {
  for (const listener of ['caller', 'peer'] as const) {
    test(`${phase}, ${listener}: large heads leave the requests in flight answered`, async () => {
      const started = await startServing();
      const results = await sendUntilRunning(started.instance.running);
      await enterPhase(phase, started.node);
      const received = await sendLarge(listeners[listener]);
      assert.equal(await Promise.all(results), answered, describeNode(started.node));
      assert.ok(received().length > 0);
      for (const text of received()) {
        assert.match(text, /^HTTP\/1\.1 503 /u);
        assert.match(text, /not run/u);
        assert.match(text, /retry-after: /iu);
      }
      if (phase === 'stopping') {
        assert.is(await started.node.ended, 0, describeNode(started.node));
        return;
      }
      for (const socket of sockets) socket.destroy();
      const servesBy = performance.now() + MAX_RECOVERY_MS;
      while (await send('after') !== '200') {
        assert.ok(performance.now() < servesBy, describeNode(started.node));
        await sleep(POLL_MS);
      }
    });
  }
}

/** A peer gets interim responses while its request runs. */
const finalResponse = /^(HTTP\/1\.1 102 [^]*?\r\n\r\n)*(HTTP\/1\.1 (200|503) |$)/u;

// Guards against heads that fill the heap before one of them is handled: requests behind another
// one, and all that arrive in one turn of the event loop at a stopping node.
for (const phase of phases) {
  for (const listener of ['caller', 'peer'] as const) {
    test(`${phase}, ${listener}: large heads that wait for their turn take no answer`, async () => {
      const started = await startServing();
      const results = await sendUntilRunning(started.instance.running);
      await enterPhase(phase, started.node);
      const received = sendPipelinedRequests(listeners[listener]);
      assert.equal(await Promise.all(results), answered, describeNode(started.node));
      assert.ok(received.some((text) => text() !== ''), describeNode(started.node));
      for (const text of received) assert.match(text(), finalResponse);
      if (phase === 'stopping') assert.is(await started.node.ended, 0, describeNode(started.node));
      else assert.is(started.node.child.signalCode, null, describeNode(started.node));
    });
  }
}

test.run();

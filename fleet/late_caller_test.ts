import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type PlatformInstance, startPlatformInstance } from '../standins/mod.ts';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { openConnection, type RawConnection } from '../testing/open_connection.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';
import { listenersOf, type NodeProcess, startNodeProcess } from './_test_node_process.ts';

const test = suite('request of a caller late after a signal');

const GRACE_MS = 6000;
const TIMEOUT_MS = 3000;
const WORK_MS = 1000;
/** Keeps the node from its exit until after the late request. */
const HOLDING_MS = 2600;
const LATE_MS = 3200;
/** Ends before the deadline of the request that holds the node. */
const LATE_DEADLINE_MS = 1500;
/** Time from the begin of the run to the event that may end its connection. */
const EVENT_DELAY_MS = 10;
const POLL_MS = 10;
const WARM_UP_LIMIT_MS = 10_000;
const SEND_INTERVAL_MS = 50;

/** A loopback address of this process alone, as the ports of a node process are fixed. */
const hostOf = (index: number) => loopbackHost(60 + index);

let fleet: LoopbackFleet;
let serving: NodeProcess;
let instance: PlatformInstance;
const nodes: NodeProcess[] = [];

const start = (index: number) => {
  const node = startNodeProcess({
    node: `host-${index}`,
    failureDomain: `d${index % 2}`,
    host: hostOf(index),
    storeAddress: fleet.server.address,
  });
  nodes.push(node);
  return node;
};

test.before(async () => {
  fleet = await startLoopbackFleet([], { timeoutMs: TIMEOUT_MS });
  serving = start(0);
  await serving.logged('"node: started"');
  instance = await startPlatformInstance({
    service: 'orders',
    announceAddress: listenersOf(hostOf(0)).announcements,
    workMs: WORK_MS,
    slots: 50,
  });
});

test.after(async () => {
  instance.kill();
  for (const { child } of nodes) child.kill('SIGKILL');
  await Promise.all(nodes.map(({ ended }) => ended));
  await fleet.stop();
});

const send = (index: number, id: string, deadlineMs = TIMEOUT_MS): RawConnection => {
  const connection = openConnection(listenersOf(hostOf(index)).caller);
  connection.socket.write([
    'GET /reads/late HTTP/1.1', 'host: shop.example', `request-id: ${id}`,
    `deadline-ms: ${deadlineMs}`, 'connection: close', '\r\n',
  ].join('\r\n'));
  return connection;
};

const statusOf = ({ received }: RawConnection) => received().slice(9, 12);

const runsOf = (id: string) => instance.executionCounts.get(id) ?? 0;

const describe = (id: string, connection: RawConnection) => JSON.stringify({
  id, runs: runsOf(id), status: statusOf(connection), error: connection.error(),
});

/** Requires a whole answer to a request that was run, and none other than a refusal otherwise. */
const checkAnswer = (id: string, connection: RawConnection) => {
  const status = statusOf(connection);
  const seen = describe(id, connection);
  if (runsOf(id) > 0) assert.is(status, '200', seen);
  else if (status !== '503') assert.match(connection.error(), /ECONNREFUSED/u, seen);
};

const warmUp = async (index: number) => {
  const endsAt = performance.now() + WARM_UP_LIMIT_MS;
  for (let count = 0; ; count += 1) {
    const connection = send(index, `warm-${index}-${count}`);
    await connection.closed;
    if (statusOf(connection) === '200') return;
    assert.ok(performance.now() < endsAt, `node ${index} answers no request`);
  }
};

/** What may end the connection or the process while the request is in flight. */
const events: Readonly<Record<string, (node: NodeProcess, late: RawConnection) => void>> = {
  'nothing else': () => undefined,
  'the FIN of its client': (_, { socket }) => socket.end(),
  'a second SIGTERM': ({ child }) => child.kill('SIGTERM'),
  'a SIGHUP': ({ child }) => child.kill('SIGHUP'),
  'an exception': ({ child }) => child.kill('SIGUSR2'),
};

const stopWith = async (index: number, name: string) => {
  const node = start(index);
  await node.logged('"node: started"');
  await warmUp(index);
  const signalledAt = performance.now();
  node.child.kill('SIGTERM');
  const until = (afterMs: number) => sleep(Math.max(0, signalledAt + afterMs - performance.now()));
  await until(HOLDING_MS);
  const holdingId = `holding-${index}`;
  const holding = send(index, holdingId);
  await until(LATE_MS);
  const lateId = `late-${index}`;
  const late = send(index, lateId, LATE_DEADLINE_MS);
  let isClosed = false;
  late.closed.then(() => {
    isClosed = true;
  });
  while (runsOf(lateId) === 0 && !isClosed) await sleep(POLL_MS);
  if (runsOf(lateId) > 0) await sleep(EVENT_DELAY_MS);
  events[name]!(node, late);
  await Promise.all([late.closed, holding.closed, node.ended]);
  checkAnswer(holdingId, holding);
  checkAnswer(lateId, late);
  assert.is(runsOf(lateId), 0, `taken late: ${describe(lateId, late)}`);
  assert.ok(performance.now() - signalledAt < GRACE_MS);
};

// Guards against a request that is taken long after the signal and given up while an instance is at
// work on it.
addConcurrentTests(test, Object.fromEntries(Object.keys(events).map((name, index) => [
  `a request 3.2 s after SIGTERM is refused as not run, beside ${name}`,
  () => stopWith(1 + index, name),
])));

const SIGNAL_STEP_MS = 100;
const STARTS = 12;
const FIRST_START = 10;
/** Signals that a starting process gets, at the interval of its requests. */
const startSignals = [
  ['SIGTERM'], ['SIGTERM', 'SIGTERM', 'SIGHUP'], ['SIGHUP', 'SIGTERM', 'SIGTERM'],
] as const;

/** Signals a process from some time after its creation on, and sends requests until its end. */
const stopStarting = async (index: number, afterMs: number, signals: readonly NodeJS.Signals[]) => {
  const waiting = [...signals];
  const node = start(index);
  const createdAt = performance.now();
  const sent: { readonly id: string; readonly connection: RawConnection }[] = [];
  let isEnded = false;
  node.ended.finally(() => {
    isEnded = true;
  });
  let signalledAt = Infinity;
  while (!isEnded) {
    const now = performance.now();
    if (now - createdAt >= afterMs) {
      signalledAt = Math.min(signalledAt, now);
      const signal = waiting.shift();
      if (signal !== undefined) node.child.kill(signal);
    }
    const id = `start-${index}-${sent.length}`;
    sent.push({ id, connection: send(index, id) });
    await sleep(SEND_INTERVAL_MS);
  }
  const endedMs = performance.now() - signalledAt;
  await Promise.all(sent.map(({ connection }) => connection.closed));
  for (const { id, connection } of sent) checkAnswer(id, connection);
  assert.ok(endedMs < GRACE_MS, `ended ${endedMs} ms after the signal`);
  const wasStarted = node.log().includes('"node: started"');
  const status = await node.ended;
  // The default action of a signal before the program runs ends no request.
  const unstartedStatuses: readonly (number | string)[] = [0, ...signals];
  if (wasStarted) assert.is(status, 0);
  else assert.ok(unstartedStatuses.includes(status), `status ${status}`);
};

// Guards against a signal during the start that leaves a process accepting and ends it later with
// requests in flight.
test('a SIGTERM during the start leaves each accepted request its answer', async () => {
  const delays = Array.from({ length: STARTS }, (_, index) => (1 + index) * SIGNAL_STEP_MS);
  await Promise.all(delays.map((afterMs, index) => (
    stopStarting(FIRST_START + index, afterMs, startSignals[index % startSignals.length]!)
  )));
});

test.run();

import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { decodeNodeEntry, nodeKey } from '../directory/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';
import { type FleetNode, startFleetNode } from './start_fleet_node.ts';

const test = suite('process that follows a stop');

const WORK_MS = 1000;
const TIMEOUT_MS = 3000;
const METRICS_PORT = 18_624;
const LIMIT_MS = 10_000;
const POLL_MS = 20;
/** Time from a request to the end of its client's side. */
const FIN_DELAY_MS = 100;
/** Time from an exception to the signal behind it. */
const SIGNAL_DELAY_MS = 400;
/** Far less than the time between the exception and the signal. */
const MAX_CLOCK_DIFFERENCE_MS = 100;

let fleet: LoopbackFleet;
const nodes: FleetNode[] = [];
let nextId = 0;

const restart = async () => {
  const node = await startFleetNode(fleet.hosts[0]!.settings, {
    clock: createSystemClock(), logger: noopLogger, metricsPort: METRICS_PORT,
  });
  nodes.push(node);
  return node;
};

const readEntry = async () => {
  const found = (await fleet.server.store.get(nodeKey('host-0')))._unsafeUnwrap();
  return found === undefined ? undefined : decodeNodeEntry(found.value);
};

/** Sends a request whose client ends its side while it waits. */
const sendHalfClosed = async () => {
  nextId += 1;
  const connection = openConnection(fleet.hosts[0]!.settings.listen.caller);
  connection.socket.write([
    'GET /reads/a HTTP/1.1', 'host: shop.example', `request-id: half-${nextId}`,
    `deadline-ms: ${TIMEOUT_MS}`, '\r\n',
  ].join('\r\n'));
  await sleep(FIN_DELAY_MS);
  connection.socket.end();
  await connection.closed;
  return connection.received();
};

/** Repeats a request until the node that has just started passes requests on. */
const sendOnceServed = async () => {
  const endsAt = performance.now() + LIMIT_MS;
  let received = '';
  do {
    if (received !== '') await sleep(POLL_MS);
    received = await sendHalfClosed();
  } while (received.startsWith('HTTP/1.1 503 ') && performance.now() < endsAt);
  return received;
};

/** Waits for the entry of a process that was started after a time in ms since the Unix epoch. */
const untilWritten = async (startedAfter: number) => {
  const endsAt = performance.now() + LIMIT_MS;
  while (((await readEntry())?.startedAt ?? 0) <= startedAfter) {
    assert.ok(performance.now() < endsAt, 'the entry is not written');
    await sleep(POLL_MS);
  }
};

test.before.each(async () => {
  fleet = await startLoopbackFleet(['orders'], { workMs: WORK_MS, timeoutMs: TIMEOUT_MS });
  await untilWritten(0);
});

test.after.each(async () => {
  await Promise.all(nodes.splice(0).map((node) => node.kill()));
  await fleet.stop();
});

const stopHost = async (...requests: readonly { readonly isPlanned: boolean }[]) => {
  const [{ node }] = fleet.hosts as [LoopbackFleet['hosts'][number]];
  const stops: Promise<void>[] = [];
  let lastAt = 0;
  for (const { isPlanned } of requests) {
    if (stops.length > 0) await sleep(SIGNAL_DELAY_MS);
    lastAt = Date.now();
    stops.push(node.stop({ sinceMs: 0, isPlanned }));
  }
  await Promise.all(stops);
  await node.kill();
  return lastAt;
};

// Guards against a process that takes a FIN for a leave while its host still has to answer.
test('after a signal, clients that end their side are answered', async () => {
  const signalledAt = await stopHost({ isPlanned: true });
  assert.ok(Math.abs((await readEntry())!.signalledAt! - signalledAt) < MAX_CLOCK_DIFFERENCE_MS);
  await restart();
  await untilWritten(signalledAt);
  assert.match(await sendOnceServed(), /^HTTP\/1\.1 200 /u);
});

// Guards against a process that passes the news of a signal on to the next one no more.
test('a second process after a signal knows of it, too', async () => {
  const signalledAt = await stopHost({ isPlanned: true });
  const following = await restart();
  await untilWritten(signalledAt);
  const entry = (await readEntry())!;
  assert.not(entry.isStopping);
  assert.ok(Math.abs(entry.signalledAt! - signalledAt) < MAX_CLOCK_DIFFERENCE_MS);
  await following.kill();
  await restart();
  await untilWritten(entry.startedAt);
  assert.match(await sendOnceServed(), /^HTTP\/1\.1 200 /u);
});

// Guards against runs that go on for clients that have left, though nobody planned a stop.
test('after an exception alone, clients that end their side have left', async () => {
  const endedAt = await stopHost({ isPlanned: false });
  assert.is((await readEntry())!.signalledAt, undefined);
  await restart();
  await untilWritten(endedAt);
  assert.is(await sendOnceServed(), '');
});

// Guards against a window that begins with the exception and ends too early.
test('a signal behind an exception counts from the signal', async () => {
  const signalledAt = await stopHost({ isPlanned: false }, { isPlanned: true });
  const entry = (await readEntry())!;
  assert.ok(entry.isStopping);
  assert.ok(Math.abs(entry.signalledAt! - signalledAt) < MAX_CLOCK_DIFFERENCE_MS);
});

test.run();

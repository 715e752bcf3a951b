import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Agent, request } from 'undici';
import { splitAddress } from '../http/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('graceful stop');

/** Longer than the pause between the last request in flight and the end of a stopping node. */
const WORK_MS = 300;
/** Longer than a request waits for a body that arrives when the node accepts no more requests. */
const LATE_BODY_TIMEOUT_MS = 4000;
/** A request that makes a call of `WORK_MS` waits for it. */
const PARENT_WORK_MS = 600;

/** Calls after which a connection is known to carry calls alone. */
const KNOWN_CALLS = 12;

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly connection: string | undefined;
  readonly retryAfter: string | undefined;
}

let fleet: LoopbackFleet;
/** Whether the last set-up succeeded; uvu runs the clean-up even if it failed. */
let isStarted = false;
let nextId = 0;
let onMessage = (_message: string) => undefined as void;

const logger: Logger = {
  ...noopLogger,
  info: (_, message) => onMessage(message),
  forComponent: () => noopLogger,
};

/** Sends a request on a connection of its own. */
const send = async (path: string, host: number, deadlineMs = 1500): Promise<Answer> => {
  nextId += 1;
  const response = await request(`http://${fleet.hosts[host]!.settings.listen.caller}${path}`, {
    dispatcher: new Agent({ connections: 1, pipelining: 1 }),
    headers: {
      host: 'shop.example',
      'request-id': `request-${nextId}`,
      'deadline-ms': String(deadlineMs),
    },
  });
  return {
    status: response.statusCode,
    text: await response.body.text(),
    connection: response.headers.connection as string | undefined,
    retryAfter: response.headers['retry-after'] as string | undefined,
  };
};

const toError = (error: unknown) => ({ error: String(error) });

/** Opens a connection and collects what is received on it. */
const openConnection = async (address: string) => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  let received = '';
  socket.setEncoding('latin1').on('data', (chunk: string) => {
    received += chunk;
  });
  const closed = once(socket, 'close');
  await once(socket, 'connect');
  return {
    write: (text: string) => {
      socket.write(text);
    },
    received: () => received,
    closed,
  };
};

const formatHead = (method: string, path: string, ...fields: readonly string[]) => [
  `${method} ${path} HTTP/1.1`,
  'host: shop.example',
  `request-id: ${path}`,
  'deadline-ms: 4000',
  ...fields,
  '\r\n',
].join('\r\n');

const HOP = JSON.stringify(['orders', 'safe', 0, 'safe/0/300', 1500, 300, null, null, 0]);

const waitFor = async (isDone: () => boolean) => {
  for (let attempt = 0; attempt < 100 && !isDone(); attempt += 1) {
    await sleep(20);
  }
};

const waitUntilServed = async (path: string) => {
  for (let attempt = 0; attempt < 160; attempt += 1) {
    if ((await send(path, 0)).status === 200) return;
    await sleep(50);
  }
  throw new Error(`${path} is not served`);
};

const workMs = (path: string) => (path.startsWith('/orders/parent') ? PARENT_WORK_MS : WORK_MS);

const startFleet = async (timeoutMs?: number) => {
  isStarted = false;
  fleet = await startLoopbackFleet(['orders', 'orders'], { logger, workMs, timeoutMs });
  isStarted = true;
  await waitUntilServed('/calls/a');
};

test.before.each(async () => {
  onMessage = () => undefined;
  await startFleet();
});

test.after.each(async () => {
  if (isStarted) await fleet.stop();
});

// A request that arrived after the last one in flight had ended was accepted, and the exit of the
// process closed its connection without an answer.
test('a request that arrives once the stopping node is idle gets an answer', async () => {
  const { node } = fleet.hosts[0]!;
  let late: Promise<Answer | { readonly error: string }> | undefined;
  onMessage = (message) => {
    if (message !== 'no longer accepting requests') return;
    late = send('/calls/late', 0).catch(toError);
  };
  await node.stop();
  await node.kill();
  const answer = await late!;
  assert.ok('status' in answer, JSON.stringify(answer));
  assert.is(answer.status, 503);
  assert.is(answer.connection, 'close');
  assert.ok(Number(answer.retryAfter) > 0);
});

// Responses of a stopping node announce the end of their connection, but an idle connection stays
// open until the node closes.
test('a request on an idle connection gets an answer while the node closes', async () => {
  const { node, settings } = fleet.hosts[0]!;
  const socket = await openConnection(settings.listen.caller);
  socket.write(formatHead('GET', '/reads/first'));
  await waitFor(() => /ran at/u.test(socket.received()));
  onMessage = (message) => {
    if (message === 'no longer accepting requests') socket.write(formatHead('GET', '/calls/late'));
  };
  await node.stop();
  await node.kill();
  await socket.closed;
  const [, second] = socket.received().split(/(?=HTTP\/1\.1 )/u);
  assert.match(second ?? '', /^HTTP\/1\.1 503 .*connection: close.*not run/isu);
});

// A connection that had been accepted but not read was served, and then cut by the exit.
test('the first request on an open connection gets an answer while the node closes', async () => {
  const { node, settings } = fleet.hosts[0]!;
  const socket = await openConnection(settings.listen.caller);
  onMessage = (message) => {
    if (message === 'no longer accepting requests') socket.write(formatHead('GET', '/calls/late'));
  };
  await node.stop();
  await node.kill();
  await socket.closed;
  assert.match(socket.received(), /^HTTP\/1\.1 503 .*connection: close.*not run/isu);
});

test('a request whose body arrives late is answered before the node ends', async () => {
  await fleet.stop();
  await startFleet(LATE_BODY_TIMEOUT_MS);
  const { node, settings } = fleet.hosts[0]!;
  const socket = await openConnection(settings.listen.caller);
  const stopped = node.stop();
  await sleep(1000);
  // The response 100 tells that the request was accepted before the node accepts no more.
  socket.write(formatHead('POST', '/orders/late', 'content-length: 5', 'expect: 100-continue'));
  let receivedBefore = '';
  onMessage = (message) => {
    if (message !== 'no longer accepting requests') return;
    receivedBefore = socket.received();
    socket.write('order');
  };
  await stopped;
  await node.kill();
  await socket.closed;
  assert.match(receivedBefore, /^HTTP\/1\.1 100 Continue\r\n\r\n$/u);
  assert.match(socket.received().slice(receivedBefore.length), /^HTTP\/1\.1 200 .*ran at/isu);
});

// Calls on routes below the highest priority were refused, and the requests that made them failed.
test('calls of any priority are served while the request that makes them runs', async () => {
  const { node, settings } = fleet.hosts[0]!;
  /** Starts a request on the instance of this host. */
  const startRun = async (path: string) => {
    const peer = await openConnection(settings.listen.peer);
    const hop = JSON.stringify(['orders', 'unsafe', 1, 'unsafe/1/300', 1500, 300, null, null, 0]);
    peer.write(`${formatHead('POST', path, `mh-hop: ${hop}`, 'content-length: 5')}order`);
    return peer;
  };
  // Calls are only known from several runs with pauses between them.
  const calls = await openConnection(settings.listen.caller);
  const sendCall = (path: string) => {
    calls.write(formatHead('GET', path).replace('deadline-ms: 4000', 'deadline-ms: 700'));
  };
  const countAnswers = () => calls.received().split('HTTP/1.1 200 ').length - 1;
  await sleep(3000);
  const callWithinRun = async (made: number) => {
    const run = await startRun(`/orders/parent-${made}`);
    await sleep(50);
    sendCall(`/reads/call-${made}`);
    await waitFor(() => countAnswers() === made);
    await waitFor(() => run.received().includes('ran at'));
  };
  for (let made = 1; made <= KNOWN_CALLS; made += 1) {
    await callWithinRun(made);
    await sleep(500);
  }
  onMessage = (message) => {
    if (message === 'no longer accepting requests') sendCall('/reads/call');
  };
  const stoppingAt = performance.now();
  const stopped = node.stop();
  // The connection is kept for calls while others end with their responses.
  await callWithinRun(KNOWN_CALLS + 1);
  await sleep(2700 + stoppingAt - performance.now());
  const running = await startRun('/orders/parent-running');
  await stopped;
  await node.kill();
  assert.is(countAnswers(), KNOWN_CALLS + 2, calls.received().slice(-500));
  assert.match(running.received(), /HTTP\/1\.1 200 /u, running.received());
});

// A request taken late was run, and its connection closed without an answer.
test('a request of a caller is refused while the node closes, though others run', async () => {
  const { node } = fleet.hosts[0]!;
  let late: Promise<Answer> | undefined;
  onMessage = (message) => {
    if (message === 'no longer accepting requests') late = send('/reads/late', 0, 500);
  };
  const stopped = node.stop();
  await sleep(2700);
  const running = send('/orders/running', 0);
  await stopped;
  await node.kill();
  const { status, text, retryAfter } = await late!;
  assert.is(status, 503);
  assert.match(text, 'not run');
  assert.ok(Number(retryAfter) > 0);
  assert.is((await running).status, 200);
});

test('a request from a peer that arrives while the node closes is refused as not run', async () => {
  const { node, settings } = fleet.hosts[0]!;
  const socket = await openConnection(settings.listen.peer);
  onMessage = (message) => {
    if (message !== 'no longer accepting requests') return;
    socket.write(formatHead('GET', '/calls/late', `mh-hop: ${HOP}`));
  };
  await node.stop();
  await node.kill();
  await socket.closed;
  assert.match(socket.received(), /^HTTP\/1\.1 503 .*mh-outcome: not run/isu);
});

// Guards against requests that were accepted, and cut off when both ends of their path stopped.
test('two hosts that stop at once under load answer all requests that they accepted', async () => {
  const answers: Promise<Answer | { readonly error: string }>[] = [];
  let isLoaded = true;
  const load = async () => {
    while (isLoaded) {
      for (const host of [0, 1]) answers.push(send('/calls/load', host).catch(toError));
      await sleep(15);
    }
  };
  const loading = load();
  await sleep(WORK_MS);
  await Promise.all(fleet.hosts.map(({ node }) => node.stop()));
  await Promise.all(fleet.hosts.map(({ node }) => node.kill()));
  isLoaded = false;
  await loading;
  const results = await Promise.all(answers);
  const statuses = new Set<number>();
  for (const result of results) {
    if ('status' in result) statuses.add(result.status);
    // A connection that was refused has never been accepted.
    else assert.match(result.error, 'ECONNREFUSED');
  }
  assert.ok(statuses.has(200));
  statuses.delete(200);
  statuses.delete(503);
  assert.equal([...statuses], []);
});

test.run();

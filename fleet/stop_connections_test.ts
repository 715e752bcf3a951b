/**
 * Random orders of requests on real connections around a stop. `STOP_ORDERS_SEED=7` plays other
 * orders, `STOP_ORDERS_SEED=fresh` new ones, `STOP_ORDERS=200` more of them. A failure prints its
 * seed; its order in time depends on the machine.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { IncomingMessage, ServerResponse } from 'node:http';
import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import { createHttpServer, renderMalformed } from '../http/mod.ts';
import { createEndOwner, type OpenEnd } from '../lifecycle/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';

const test = suite('connections of a node that stops');

const DEFAULT_SEED = 54;
const DEFAULT_ORDERS = 20;
const MAX_SEED = 2_147_483_647;
/** Orders that run at the same time. */
const CONCURRENT_ORDERS = 20;
const GRACE_MS = 6000;
/** Time of the stop that is past at its begin, which leaves little of its wait for callers. */
const MIN_SINCE_MS = 2600;
const MAX_SINCE_MS = 2800;
const DEADLINE_MS = 1500;
const IDLE_GRACE_MS = 40;
/** Time in which a client reads what was handed to the operating system. */
const DELIVERY_MS = 200;

const sentArbitrary = fc.record({
  workMs: fc.oneof(fc.constant(0), fc.nat(80)),
  answerBytes: fc.nat(4000),
  bodyBytes: fc.oneof(fc.constant(0), fc.nat(500)),
});
type Sent = typeof sentArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const orderArbitrary = fc.record({
  stopAtMs: fc.nat(250),
  sinceMs: fc.integer({ min: MIN_SINCE_MS, max: MAX_SINCE_MS }),
  isPlanned: fc.boolean(),
  connections: fc.array(fc.record({
    openAtMs: fc.nat(300),
    hasLast: fc.boolean(),
    writes: fc.array(fc.record({
      waitMs: fc.nat(120),
      /** Part of the bytes that is written at once; the rest follows 5 ms later. */
      firstPart: fc.constantFrom(1, 0.3, 0.8),
      pipelined: fc.array(sentArbitrary, { minLength: 1, maxLength: 4 }),
    }), { minLength: 1, maxLength: 5 }),
  }), { minLength: 1, maxLength: 8 }),
});
type Order = typeof orderArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const answerTo = (path: string, { answerBytes }: Sent) => (
  `<${path}>${'x'.repeat(answerBytes)}</${path}>`
);
const refusalOf = (path: string) => `<refused ${path}>`;

const render = (path: string, { bodyBytes }: Sent, isLast: boolean) => [
  `POST ${path} HTTP/1.1`,
  'host: h',
  `content-length: ${bodyBytes}`,
  ...(isLast ? ['connection: close'] : []),
  '',
  'x'.repeat(bodyBytes),
].join('\r\n');

/** Starts a server that accepts requests as the listener for callers does. */
const startServer = async (sent: ReadonlyMap<string, Sent>) => {
  const clock = createSystemClock();
  const shutdown = createShutdownTracker(clock);
  const ends = createEndOwner({ clock, logger: noopLogger, exit: () => undefined });
  const openEnds: OpenEnd[] = [];
  ends.onOpenEnd((end) => openEnds.push(end));
  /** Text that each client must have got by the path of its request. */
  const expected = new Map<string, string>();

  const handle = (
    request: IncomingMessage,
    response: ServerResponse,
    _: unknown,
    readAt: number,
  ) => {
    const path = request.url!;
    const deadlineAt = readAt + DEADLINE_MS;
    // Each second connection carries requests that are proven to be calls.
    const isProvenCall = Number(path.slice(1, path.indexOf('-'))) % 2 === 0;
    if (!shutdown.mayAccept(deadlineAt, isProvenCall)) {
      expected.set(path, refusalOf(path));
      request.resume();
      response.writeHead(503).end(refusalOf(path));
      return;
    }
    const work = sent.get(path)!;
    expected.set(path, answerTo(path, work));
    response.once('close', shutdown.trackRequest(deadlineAt));
    request.resume();
    request.once('end', () => setTimeout(() => response.end(answerTo(path, work)), work.workMs));
  };

  const isStopping = () => shutdown.phase() !== 'running';
  const server = createHttpServer({
    clock,
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle,
    ends: ends.forListener('caller', () => undefined),
    mayEndAfter: isStopping,
    keepsHalfOpen: isStopping,
    renderMalformed,
  });
  const stop = createGracefulStop({
    clock,
    graceMs: GRACE_MS,
    shutdown,
    ends,
    listeners: [server],
    announceStop: () => undefined,
    logger: noopLogger,
  });
  const address = await server.listen();
  return {
    address, server, stop, isStopping, ends, openEnds, expected,
  };
};

/** Plays an order, and returns what was wrong and how many requests the handler began. */
const play = async ({ connections, ...order }: Order) => {
  const sent = new Map<string, Sent>();
  /** Paths of requests that were written at once. */
  const arrivedTogether: (readonly string[])[] = [];
  const node = await startServer(sent);
  const stopBegun = sleep(order.stopAtMs).then(() => {
    const stopped = node.stop(order);
    return { stopped };
  });

  const runClient = async (index: number): Promise<() => string> => {
    const { openAtMs, hasLast, writes } = connections[index]!;
    await sleep(openAtMs);
    const { socket, received } = openConnection(node.address);
    /** Ends the side of the client once the node stops; before that, its requests are cancelled. */
    const endsSide = index % 2 === 1;
    for (const [number, { waitMs, firstPart, pipelined }] of writes.entries()) {
      const paths = pipelined.map((_, place) => `/${index}-${number}-${place}`);
      if (firstPart === 1) arrivedTogether.push(paths);
      const text = pipelined.map((work, place) => {
        sent.set(paths[place]!, work);
        const isLast = hasLast && number === writes.length - 1 && place === paths.length - 1;
        return render(paths[place]!, work, isLast);
      }).join('');
      const firstBytes = Math.ceil(text.length * firstPart);
      if (socket.writable) socket.write(text.slice(0, firstBytes));
      if (firstBytes < text.length) await sleep(5);
      if (firstBytes < text.length && socket.writable) socket.write(text.slice(firstBytes));
      if (endsSide && number === writes.length - 1 && node.isStopping()) socket.end();
      await sleep(waitMs);
    }
    if (endsSide) {
      await stopBegun;
      if (socket.writable) socket.end();
    }
    return received;
  };

  const runs = connections.map((_, index) => runClient(index));
  await (await stopBegun).stopped;
  const wrong: string[] = [];
  const open = node.ends.openRequests();
  if (open > 0) wrong.push(`${open} requests are open at the exit`);
  const atExit = [...node.expected];
  // As the exit of the process does.
  node.server.kill();
  const receivedBy = await Promise.all(runs);
  await sleep(DELIVERY_MS);
  for (const [path, text] of atExit) {
    const received = receivedBy[Number(path.slice(1, path.indexOf('-')))]!();
    if (!received.includes(text)) wrong.push(`${path} lacks its response`);
  }
  for (const paths of arrivedTogether) {
    const begun = paths.filter((path) => node.expected.has(path));
    const isWhole = begun.length === 0 || begun.length === paths.length;
    if (!isWhole) wrong.push(`${paths.join()} arrived together, only ${begun.join()} were begun`);
  }
  for (const { by, why } of node.openEnds) {
    if (by === 'node' && why !== 'killed') wrong.push(`ended with a request open: ${why}`);
  }
  return { wrong, begun: atExit.length };
};

const chooseSeed = (text: string | undefined) => {
  if (text === undefined) return DEFAULT_SEED;
  return text === 'fresh' ? Date.now() % MAX_SEED : Number(text);
};

test('each request that a handler began gets its whole response', async () => {
  const { STOP_ORDERS, STOP_ORDERS_SEED } = process.env;
  const seed = chooseSeed(STOP_ORDERS_SEED);
  const numRuns = Number(STOP_ORDERS ?? DEFAULT_ORDERS);
  const orders = fc.sample(orderArbitrary, { seed, numRuns });
  let begun = 0;
  for (let first = 0; first < orders.length; first += CONCURRENT_ORDERS) {
    const results = await Promise.all(orders.slice(first, first + CONCURRENT_ORDERS).map(play));
    for (const [index, result] of results.entries()) {
      const order = `order ${first + index} of seed ${seed}`;
      assert.is(result.wrong.length, 0, [order, ...result.wrong].join('\n'));
      begun += result.begun;
    }
  }
  assert.ok(begun > orders.length, `only ${begun} requests were begun`);
  if (STOP_ORDERS_SEED !== undefined) console.log(`seed ${seed}, ${begun} requests begun`);
});

test.run();

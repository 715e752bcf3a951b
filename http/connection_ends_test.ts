import { AsyncResource, createHook } from 'node:async_hooks';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { mayEndConnection, type OpenConnectionEnd } from '../lifecycle/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed, resetConnection } from './mod.ts';

const test = suite('ends of connections');

const REQUEST = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';

type Handle = (request: IncomingMessage, response: ServerResponse) => void;

const setUp = async (handle: Handle) => {
  const recorded: OpenConnectionEnd[] = [];
  const acceptErrors: Error[] = [];
  const errors: string[] = [];
  let open = 0;
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 20,
    handle,
    ends: {
      openRequest: () => {
        open += 1;
        return () => {
          open -= 1;
        };
      },
      mayEnd: mayEndConnection,
      recordEnd: (end) => recorded.push(end),
    },
    onAcceptError: (error) => acceptErrors.push(error),
    onHandleError: (error, { url }) => errors.push(`${String(error)} ${url}`),
    renderMalformed,
  });
  const address = await server.listen();
  const describe = () => recorded.map(({ by, why, requests }) => (
    [by, why, requests.map(({ url }) => url).join(' ')].join('; ')
  ));
  return {
    server,
    acceptErrors,
    errors,
    describe,
    open: () => open,
    /** Sends requests on a connection of their own. */
    send: (text = REQUEST) => {
      const connection = openConnection(address);
      connection.socket.write(text);
      return connection;
    },
  };
};

const until = async (condition: () => boolean) => {
  for (let turn = 0; turn < 1000 && !condition(); turn += 1) await sleep(2);
};

test('a connection that ends after its response leaves no record', async () => {
  const {
    server, describe, open, send,
  } = await setUp((_, response) => {
    response.shouldKeepAlive = false;
    response.end('done');
  });
  const { closed } = send();
  await closed;
  await server.stop();
  assert.equal(describe(), []);
  assert.is(open(), 0);
});

test('the leave of a client is recorded with the requests that were open', async () => {
  for (const leave of ['end', 'resetAndDestroy'] as const) {
    const {
      server, describe, open, send,
    } = await setUp(() => undefined);
    const { socket, closed } = send();
    await until(() => open() === 1);
    socket[leave]();
    await closed;
    await until(() => describe().length > 0);
    const [end] = describe();
    assert.match(end!, /^client; .+; \/a$/u);
    assert.is(open(), 0);
    await server.stop();
  }
});

test('a response that is cut is recorded as an end by the node', async () => {
  const {
    server, describe, open, send,
  } = await setUp((_, response) => {
    response.writeHead(200, { 'content-length': 10 });
    response.write('part');
    setTimeout(() => resetConnection(response), 5);
  });
  const { closed } = send();
  await closed;
  await until(() => describe().length > 0);
  assert.equal(describe(), ['node; response cut; /a']);
  assert.is(open(), 0);
  await server.stop();
});

test('a killed listener records its open requests', async () => {
  const {
    server, describe, open, send,
  } = await setUp(() => undefined);
  const { closed } = send();
  await until(() => open() === 1);
  server.kill();
  await closed;
  await until(() => describe().length > 0);
  assert.equal(describe(), ['node; killed; /a']);
  assert.is(open(), 0);
});

// Guards against requests that wait behind another one and stay open for good, so that a stop waits
// for them until the end of its grace time.
test('requests that wait for their turn are open until their connection ends', async () => {
  const {
    server, describe, open, send,
  } = await setUp(() => undefined);
  const { socket, closed } = send(REQUEST + REQUEST + REQUEST);
  await until(() => open() === 3);
  assert.is(open(), 3);
  socket.resetAndDestroy();
  await closed;
  await until(() => open() === 0);
  assert.is(open(), 0);
  assert.match(describe()[0]!, /^client; .+; \/a \/a \/a$/u);
  await server.stop();
});

// Guards against an idle connection's end that takes a request with it which was read meanwhile.
test('the end of the idle time of a stop spares a connection with a request open', async () => {
  let finish = () => undefined as void;
  const {
    server, describe, open, send,
  } = await setUp((_, response) => {
    finish = () => response.end('done');
  });
  const { received } = send();
  await until(() => open() === 1);
  const stopped = server.stop();
  await sleep(100);
  assert.is(open(), 1);
  finish();
  await stopped;
  await until(() => received().includes('done'));
  assert.match(received(), /^HTTP\/1\.1 200 .*done$/su);
  assert.equal(describe(), []);
});

// Guards against one request that takes the process with it, and all others that are in flight.
test('a handler that throws costs its own request only', async () => {
  const {
    server, describe, open, send, errors,
  } = await setUp(() => {
    throw new Error('cannot handle');
  });
  const { closed, received } = send();
  await closed;
  assert.match(received(), /^HTTP\/1\.1 500 /u);
  assert.equal(errors, ['Error: cannot handle /a']);
  assert.equal(describe(), []);
  assert.is(open(), 0);
  await server.stop();
});

test('a listener that was stopped does not begin to listen', async () => {
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 20,
    handle: () => undefined,
    renderMalformed,
  });
  await server.stop();
  await server.listen().then(() => assert.unreachable('it listens'), () => undefined);
  assert.not(server.isListening());
});

// Guards against an error of `accept`, such as too many open files, that ends the process as an
// exception, with all requests in flight.
test('an error of accept is reported and the listener goes on', async () => {
  const created: object[] = [];
  const hook = createHook({
    init: (_, type, __, resource) => {
      if (type === 'TCPSERVERWRAP') created.push(resource);
    },
  }).enable();
  const { server, acceptErrors, send } = await setUp((_, response) => response.end('done'));
  hook.disable();
  const handle = created.at(-1) as { onconnection: (status: number) => void };
  const EMFILE = -24;
  new AsyncResource('test').runInAsyncScope(() => handle.onconnection(EMFILE));
  assert.is(acceptErrors.length, 1);
  assert.match(String(acceptErrors[0]), 'EMFILE');
  const { socket, received } = send();
  await once(socket, 'connect');
  await until(() => received().includes('done'));
  assert.match(received(), /done/u);
  socket.destroy();
  await server.stop();
});

test.run();

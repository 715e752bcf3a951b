import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { createInstanceClient, type InstanceClient } from './instance_client.ts';
import type { GatewayRequest } from './request.ts';

const test = suite('instance client');

const clock = createSystemClock();
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n';
const RESET_DELAY_MS = 20;
const SLOW_RECEIVER_MS = 60;

const requestOf = (signal = new AbortController().signal): GatewayRequest => ({
  requestId: 'r1',
  service: 'ledger',
  kind: 'safe',
  priority: 1,
  workClass: 'safe/1/300',
  key: undefined,
  instance: 'i-1',
  method: 'GET',
  path: '/a/1',
  headers: ['Host', 'shop.example', 'Request-Id', 'r1', 'Deadline-Ms', '5000'],
  body: null,
  deadlineAt: clock.now() + 1000,
  latencyTargetAt: clock.now() + 300,
  isCallerRetry: false,
  withheld: 0,
  signal,
});

/** Sends one request to a server that responds with raw bytes. */
const runAgainst = async (
  respond: (
    socket: Socket, requestHead: string, client: InstanceClient, leave: () => void,
  ) => void,
  receiver: 'quick' | 'slow' = 'quick',
) => {
  let client: InstanceClient;
  const caller = new AbortController();
  const server = await new Promise<Server>((resolve) => {
    const started = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (data) => {
        respond(socket, data.toString(), client, () => caller.abort());
      });
    });
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  const { port } = server.address() as AddressInfo;
  const body: Buffer[] = [];
  const sink: ResponseSink = {
    start: () => 'deliver',
    write: (chunk) => body.push(chunk) > 0 && receiver === 'quick',
    onDrain: (resume) => {
      setTimeout(resume, SLOW_RECEIVER_MS);
    },
    end: () => undefined,
  };
  client = createInstanceClient({
    clock,
    address: `127.0.0.1:${port}`,
    instance: 'i-1',
    connections: 2,
    headers: {
      requestId: 'request-id',
      remainingMs: 'deadline-ms',
      signature: 'response-seal',
      expectedInstance: 'expect-instance',
      notRun: 'not-executed',
    },
    onConnectionRefused: () => undefined,
  });
  const outcome = await client.send(requestOf(caller.signal), sink);
  const isUnfinished = client.hasUnfinishedWork();
  client.close();
  server.close();
  return { outcome, body: Buffer.concat(body).toString(), isUnfinished };
};

test('a complete response is delivered', async () => {
  const { outcome, body } = await runAgainst((socket) => {
    socket.write(`${HEAD}content-length: 5\r\n\r\nhello`);
  });
  assert.is(outcome.kind, 'answered');
  assert.is(body, 'hello');
});

test('a response without a length ends with its connection', async () => {
  const { outcome, body } = await runAgainst((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\nhello`);
  });
  assert.is(outcome.kind, 'answered');
  assert.is(body, 'hello');
});

test('a response without a length is truncated when its connection is reset', async () => {
  const { outcome } = await runAgainst((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nhel`);
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
  assert.is(outcome.kind, 'truncated');
});

// Guards against an answer cut off by a reset that callers took for a whole one.
test('a response without a length is truncated when a reset follows its last bytes', async () => {
  for (const size of [3, 3000, 300_000]) {
    const { outcome } = await runAgainst((socket) => {
      socket.write(`${HEAD}connection: close\r\n\r\n${'x'.repeat(size)}`);
      socket.resetAndDestroy();
    });
    assert.is(outcome.kind, 'truncated', `${size} bytes`);
  }
});

test('a connection that closes while the receiver is slow does not crash the process', async () => {
  const large = Buffer.alloc(300_000, 'x').toString();
  for (const cut of ['end', 'resetAndDestroy'] as const) {
    const { outcome } = await runAgainst((socket) => {
      socket.write(`${HEAD}connection: close\r\n\r\n${large}`, () => {
        setTimeout(() => socket[cut](), RESET_DELAY_MS);
      });
    }, 'slow');
    assert.is(outcome.kind, cut === 'end' ? 'answered' : 'truncated');
  }
});

// Slow callers lost complete responses when the sender closed its connection after the last byte.
test('a complete response is not truncated by a close while the receiver is slow', async () => {
  const large = Buffer.alloc(300_000, 'x').toString();
  for (const closeDelayMs of [0, RESET_DELAY_MS]) {
    const { outcome, body } = await runAgainst((socket) => {
      socket.write(`${HEAD}content-length: ${large.length}\r\n\r\n${large}`, () => {
        setTimeout(() => socket.end(), closeDelayMs);
      });
    }, 'slow');
    assert.is(body.length, large.length);
    assert.is(outcome.kind, 'answered', `closed after ${closeDelayMs} ms`);
  }
});

test('a chunked response that ends before its last chunk is truncated', async () => {
  const begin = `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n`;
  for (const cut of ['resetAndDestroy', 'end'] as const) {
    const { outcome } = await runAgainst((socket) => {
      socket.write(begin);
      setTimeout(() => socket[cut](), RESET_DELAY_MS);
    });
    assert.is(outcome.kind, 'truncated', cut);
  }
});

test('a response shorter than its content-length is truncated', async () => {
  const { outcome } = await runAgainst((socket) => {
    socket.end(`${HEAD}content-length: 9\r\n\r\nhello`);
  });
  assert.is(outcome.kind, 'truncated');
});

// An instance that registered again at its host cut the requests that its former process ran.
test('a request in flight is answered after the client is closed', async () => {
  const { outcome, body } = await runAgainst((socket, _, client) => {
    client.close();
    setTimeout(() => socket.write(`${HEAD}content-length: 5\r\n\r\nhello`), RESET_DELAY_MS);
  });
  assert.is(outcome.kind, 'answered');
  assert.is(body, 'hello');
});

test('a request in flight on a closed client fails with the process that runs it', async () => {
  const { outcome } = await runAgainst((socket, _, client) => {
    client.close();
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
  assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'unknown');
});

test('a request on a closed client does not run', async () => {
  let requests = 0;
  const { outcome } = await runAgainst((socket, _, client) => {
    requests += 1;
    client.close();
    client.send(requestOf(), {
      start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
    }).then((second) => {
      socket.write(`${HEAD}content-length: 0\r\n\r\n`);
      assert.is(second.kind === 'refused' && second.refusal.outcome, 'not run');
    }, () => undefined);
  });
  assert.is(outcome.kind, 'answered');
  assert.is(requests, 1);
});

test('a response to another request is not delivered', async () => {
  const { outcome, body } = await runAgainst((socket) => {
    socket.write(`${HEAD.replace('r1', 'r0')}content-length: 5\r\n\r\nhello`);
  });
  assert.is(outcome.kind, 'refused');
  assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'unknown');
  assert.is(body, '');
});

test('an unsigned or content-encoded success is not delivered', async () => {
  for (const head of [
    'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n',
    `${HEAD}content-encoding: gzip\r\n`,
  ]) {
    const { outcome } = await runAgainst((socket) => {
      socket.write(`${head}content-length: 5\r\n\r\nhello`);
    });
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'unknown');
  }
});

test('a request counts as not run only when the instance says so', async () => {
  const notRun = await runAgainst((socket) => {
    socket.write(
      'HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n',
    );
  });
  assert.is(notRun.outcome.kind === 'refused' && notRun.outcome.refusal.outcome, 'not run');
  // Only its identifier tells a refusal from one of an earlier request on the connection.
  const unnamed = await runAgainst((socket) => {
    socket.write('HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n');
  });
  assert.is(unnamed.outcome.kind === 'refused' && unnamed.outcome.refusal.outcome, 'unknown');
  const reset = await runAgainst((socket) => socket.resetAndDestroy());
  assert.is(reset.outcome.kind === 'refused' && reset.outcome.refusal.outcome, 'unknown');
});

test('the instance receives the remaining time and its own name', async () => {
  let receivedHead = '';
  await runAgainst((socket, requestHead) => {
    receivedHead = requestHead;
    socket.write(`${HEAD}content-length: 0\r\n\r\n`);
  });
  assert.match(receivedHead, /expect-instance: i-1/u);
  const remainingMs = Number(/deadline-ms: (\d+)/u.exec(receivedHead)?.[1]);
  assert.ok(remainingMs > 500 && remainingMs <= 1000, `${remainingMs} ms`);
});

const REFUSAL = 'HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nnot-executed: 1\r\n';
const finished: Readonly<Record<string, (socket: Socket) => void>> = {
  'is answered': (socket) => socket.write(`${HEAD}content-length: 0\r\n\r\n`),
  'is refused as not run': (socket) => socket.write(`${REFUSAL}content-length: 0\r\n\r\n`),
  'is cut by the end of the process': (socket) => socket.end(),
  'is reset by the end of the process': (socket) => socket.resetAndDestroy(),
};
const unfinished: Readonly<Record<string, (socket: Socket, leave: () => void) => void>> = {
  'is left by its caller': (_, leave) => leave(),
  'gets bytes of no meaning': (socket) => socket.write('no answer\r\n\r\n'),
  'gets the answer to another one': (socket) => socket.write(
    `${HEAD.replace('r1', 'r0')}content-length: 0\r\n\r\n`,
  ),
};

// Guards against keys that are given away while their instance works on a request.
for (const [name, react] of Object.entries({ ...finished, ...unfinished })) {
  test(`a request that ${name} is ${name in finished ? 'finished' : 'unfinished'}`, async () => {
    const { isUnfinished } = await runAgainst((socket, _, client, leave) => {
      assert.ok(client.hasUnfinishedWork());
      react(socket, leave);
    });
    assert.is(isUnfinished, name in unfinished);
  });
}

test.run();

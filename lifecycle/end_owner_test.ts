import type { IncomingMessage } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { LogFields, Logger } from '../telemetry/mod.ts';
import {
  createEndOwner, mayEndConnection, type OpenEnd, type StopRequest,
} from './mod.ts';

const test = suite('owner of the ends');

interface Line {
  readonly message: string;
  readonly fields: LogFields;
}

const setUp = () => {
  const clock = createFakeClock();
  const lines: Line[] = [];
  const exits: number[] = [];
  const openEnds: OpenEnd[] = [];
  const write = (fields: LogFields, message: string) => {
    lines.push({ fields, message });
  };
  const logger: Logger = {
    debug: write, info: write, warn: write, error: write, forComponent: () => logger,
  };
  const owner = createEndOwner({ clock, logger, exit: (status) => exits.push(status) });
  owner.onOpenEnd((end) => openEnds.push(end));
  return {
    clock, lines, exits, openEnds, owner, listener: owner.forListener('caller', ({ url }) => url),
  };
};

/** Sets a stop that ends when the returned function is called. */
const setStop = (owner: ReturnType<typeof setUp>['owner']) => {
  const requests: StopRequest[] = [];
  let end = (_error?: Error) => undefined as void;
  const stopped = new Promise<void>((resolve, reject) => {
    end = (error) => (error === undefined ? resolve() : reject(error));
  });
  owner.setStop((request) => {
    requests.push(request);
    return stopped;
  });
  return { requests, end };
};

test('a connection with requests open may end only if no response can follow', () => {
  for (const reason of [
    'idle after the stop', 'input without a request', 'after the last response',
  ] as const) {
    assert.ok(mayEndConnection(reason, 0));
    assert.not(mayEndConnection(reason, 1));
  }
  for (const reason of [
    'invalid input', 'too much invalid input', 'response cut', 'killed',
  ] as const) assert.ok(mayEndConnection(reason, 1));
});

test('the wait for open requests ends with the last of them', async () => {
  const { clock, owner, listener } = setUp();
  const [first, second] = [listener.openRequest(), listener.openRequest()];
  let isAnswered = false;
  owner.untilAnswered(1000).then(() => {
    isAnswered = true;
  });
  first();
  first();
  await clock.advance(500);
  assert.not(isAnswered);
  assert.is(owner.openRequests(), 1);
  second();
  await clock.advance(0);
  assert.ok(isAnswered);
  assert.is(clock.pending(), 0);
});

test('the wait for open requests ends at its limit', async () => {
  const { clock, owner, listener } = setUp();
  listener.openRequest();
  let isOver = false;
  owner.untilAnswered(1000).then(() => {
    isOver = true;
  });
  await clock.advance(999);
  assert.not(isOver);
  await clock.advance(1);
  assert.ok(isOver);
});

// Guards against an exit that takes the requests in flight with it, whatever asked for it.
test('the process exits only after its stop', async () => {
  for (const [reason, status, isPlanned] of [
    ['signal', 0, true], ['exception', 1, false], ['failed start', 1, false],
  ] as const) {
    const { clock, exits, owner } = setUp();
    const stop = setStop(owner);
    owner.endProcess({ reason, status, sinceMs: 20 });
    await clock.advance(1000);
    assert.equal(exits, []);
    assert.equal(stop.requests, [{ sinceMs: 20, isPlanned }]);
    stop.end();
    await clock.advance(0);
    assert.equal(exits, [status]);
  }
});

test('a process without a node to stop exits at once', async () => {
  const { clock, exits, owner } = setUp();
  owner.endProcess({ reason: 'failed start', status: 1 });
  await clock.advance(0);
  assert.equal(exits, [1]);
});

// Guards against a stop that goes on as planned after an exception, and ends with success.
test('an exception during a stop hurries it and sets the exit status', async () => {
  const { clock, exits, owner } = setUp();
  const stop = setStop(owner);
  owner.endProcess({ reason: 'signal', status: 0 });
  owner.endProcess({ reason: 'exception', status: 1 });
  assert.equal(stop.requests.map(({ isPlanned }) => isPlanned), [true, false]);
  stop.end();
  await clock.advance(0);
  assert.equal(exits, [1]);
});

// Guards against a planned stop that is treated as the failure before it.
test('a signal after an exception makes the stop a planned one', async () => {
  const { owner } = setUp();
  const stop = setStop(owner);
  owner.endProcess({ reason: 'exception', status: 1 });
  owner.endProcess({ reason: 'signal', status: 0, sinceMs: 10 });
  assert.equal(stop.requests, [
    { sinceMs: 0, isPlanned: false }, { sinceMs: 10, isPlanned: true },
  ]);
});

test('a stop that fails ends the process with status 1', async () => {
  const { clock, exits, owner } = setUp();
  const stop = setStop(owner);
  owner.endProcess({ reason: 'signal', status: 0 });
  stop.end(new Error('cannot stop'));
  await clock.advance(0);
  assert.equal(exits, [1]);
});

// Guards against a process that ends at once, by the failure of its logger instead of a stop.
test('a damaged logger keeps neither the stop nor the exit from happening', async () => {
  const clock = createFakeClock();
  const exits: number[] = [];
  const fail = () => {
    throw new Error('cannot log');
  };
  const logger: Logger = {
    debug: fail, info: fail, warn: fail, error: fail, forComponent: () => logger,
  };
  const owner = createEndOwner({ clock, logger, exit: (status) => exits.push(status) });
  const stop = setStop(owner);
  owner.endProcess({ reason: 'exception', status: 1 });
  assert.is(stop.requests.length, 1);
  stop.end();
  await clock.advance(0);
  assert.equal(exits, [1]);
});

test('an end with requests open is logged and counted with who ended it and why', () => {
  const {
    lines, openEnds, owner, listener,
  } = setUp();
  const requests = [{ url: '/a' }, { url: '/b' }] as IncomingMessage[];
  listener.recordEnd({ by: 'client', why: 'ECONNRESET', requests });
  listener.openRequest();
  owner.recordExit();
  owner.recordExit();
  assert.equal(lines, [{
    message: 'connection ended with a request open',
    fields: {
      listener: 'caller', by: 'client', why: 'ECONNRESET', open: 2, requests: ['/a', '/b'],
    },
  }, {
    message: 'process ended with a request open', fields: { by: 'node', why: 'exit', open: 1 },
  }]);
  assert.equal(openEnds, [
    {
      what: 'connection', listener: 'caller', by: 'client', why: 'ECONNRESET',
    },
    {
      what: 'process', listener: '', by: 'node', why: 'exit',
    },
  ]);
});

test.run();

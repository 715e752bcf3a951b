import { createServer } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock, createSystemClock } from '../clock/mod.ts';
import { createDispatchQueue, type DispatchRequest } from './dispatch_queue.ts';

const test = suite('dispatch queue');

const setUp = () => {
  const clock = createFakeClock();
  const tasks: (() => void)[] = [];
  const queue = createDispatchQueue({ clock, runInNextTurn: (task) => tasks.push(task) });
  const decisions: string[] = [];
  const add = (name: string, changes: Partial<DispatchRequest> = {}) => {
    queue.wait({
      priority: 2,
      isFromPeer: false,
      isFirstOnConnection: true,
      deadlineAt: clock.now() + 2000,
      latencyTargetAt: clock.now() + 400,
      isGone: () => false,
      ...changes,
    }).then((decision) => decisions.push(`${name} ${decision}`));
  };
  const runTurn = async (durationMs = 1) => {
    clock.jump(durationMs);
    for (const task of tasks.splice(0)) task();
    await Promise.resolve();
  };
  return {
    add, clock, decisions, runTurn, tasks,
  };
};

test('a single request is forwarded after two turns, which schedule no third one', async () => {
  const {
    add, decisions, runTurn, tasks,
  } = setUp();
  add('a');
  await runTurn();
  assert.equal(decisions, []);
  await runTurn();
  assert.equal(decisions, ['a forward']);
  assert.is(tasks.length, 0);
});

test('nested calls go first, then requests of peers, then by priority and target', async () => {
  const { add, decisions, runTurn } = setUp();
  add('late', { latencyTargetAt: -1 });
  add('new');
  add('urgent', { priority: 1 });
  add('from peer', { isFromPeer: true });
  add('nested', { isNestedCall: true });
  for (let turn = 0; turn < 6; turn += 1) await runTurn();
  const order = ['nested', 'from peer', 'urgent', 'new', 'late'];
  assert.equal(decisions, order.map((name) => `${name} forward`));
});

// Each hop of a request took two turns, which are long on a host without processor time to spare.
test('a request on a kept connection is forwarded one turn after a short one', async () => {
  const { add, decisions, runTurn } = setUp();
  for (let count = 0; count < 3; count += 1) add(`${count}`);
  await runTurn(30);
  add('nested', { isNestedCall: true, isFirstOnConnection: false });
  await runTurn(30);
  assert.equal(decisions, ['nested forward']);
});

test('a request is forwarded two turns after a stall', async () => {
  const {
    add, clock, decisions, runTurn,
  } = setUp();
  for (let count = 0; count < 3; count += 1) add(`${count}`, { priority: 1 });
  await runTurn(1);
  clock.jump(150);
  add('nested', { isNestedCall: true, isFirstOnConnection: false });
  await runTurn(1);
  assert.equal(decisions, ['0 forward']);
  await runTurn(1);
  assert.equal(decisions, ['0 forward', 'nested forward']);
});

// Callers that had left while their requests waited for the event loop were served.
test('a request whose caller has gone is dropped before others are forwarded', async () => {
  const { add, decisions, runTurn } = setUp();
  let isGone = false;
  add('a', { isGone: () => isGone });
  add('b');
  await runTurn();
  isGone = true;
  await runTurn();
  assert.equal(decisions, ['a gone', 'b forward']);
});

// A host without processor time to spare answered all requests late.
test('a request that has waited too long is not forwarded', async () => {
  const { add, decisions, runTurn } = setUp();
  for (const name of ['a', 'b', 'c']) add(name);
  await runTurn(80);
  await runTurn(80);
  assert.equal(decisions, ['a forward']);
  await runTurn(80);
  assert.equal(decisions, ['a forward', 'b forward', 'c expired']);
});

// A node that had been stopped for a moment refused the only request that was waiting.
test('a request that waited for a stall is forwarded if it can meet its target', async () => {
  const { add, decisions, runTurn } = setUp();
  add('a');
  add('late', { latencyTargetAt: 100, deadlineAt: 500 });
  await runTurn();
  await runTurn(200);
  assert.equal(decisions, ['a forward', 'late expired']);
});

// Requests that a saturated host could not serve in time were held before they were refused.
test('a request is refused at once when its wait is expected to be too long', async () => {
  const { add, decisions, runTurn } = setUp();
  for (let count = 0; count < 8; count += 1) {
    add(`${count}`, { deadlineAt: Infinity, latencyTargetAt: Infinity });
  }
  for (let turn = 0; turn < 4; turn += 1) await runTurn(30);
  decisions.length = 0;
  add('new', { deadlineAt: 920, latencyTargetAt: 420 });
  add('nested', { isNestedCall: true, deadlineAt: 460, latencyTargetAt: 256 });
  await Promise.resolve();
  assert.equal(decisions, ['new expired']);
  for (let turn = 0; turn < 7; turn += 1) await runTurn(1);
  decisions.length = 0;
  add('later', { deadlineAt: 2000, latencyTargetAt: 500 });
  for (let turn = 0; turn < 2; turn += 1) await runTurn(1);
  assert.equal(decisions, ['later forward']);
});

// A nested call that was refused for its latency target failed the request that had made it.
test('a nested call may wait beyond its latency target', async () => {
  const { add, decisions, runTurn } = setUp();
  add('nested', { isNestedCall: true, latencyTargetAt: 100, deadlineAt: 320 });
  await runTurn(70);
  await runTurn(70);
  assert.equal(decisions, ['nested forward']);
});

// After a single stall, a host without load refused requests for as long as few arrived.
test('requests are not refused for a stall before a time without requests', async () => {
  const {
    add, clock, decisions, runTurn,
  } = setUp();
  add('stalled');
  await runTurn(1);
  await runTurn(1000);
  clock.jump(5000);
  decisions.length = 0;
  add('a');
  add('b');
  for (let turn = 0; turn < 3; turn += 1) await runTurn(1);
  assert.equal(decisions, ['a forward', 'b forward']);
});

// A turn accepts one connection only. While each turn forwarded all requests that it had read,
// connections were accepted seconds after they had been made, when their callers had left.
test('a burst of requests with much work does not delay new connections', async () => {
  const clock = createSystemClock();
  const queue = createDispatchQueue({ clock });
  let workCount = 0;
  const work = () => {
    workCount += 1;
    const endsAt = clock.now() + 3;
    while (clock.now() < endsAt);
  };
  const server = createServer((_, response) => {
    queue.wait({
      priority: 2,
      isFromPeer: false,
      isFirstOnConnection: false,
      deadlineAt: Infinity,
      latencyTargetAt: Infinity,
      isGone: () => false,
    }).then(() => {
      work();
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
  const kept = Array.from({ length: 40 }, () => connect(port, '127.0.0.1'));
  await Promise.all(kept.map((socket) => new Promise<void>((resolve) => {
    socket.once('data', () => resolve());
    socket.write(request);
  })));
  const acceptedAfter: number[] = [];
  workCount = 0;
  server.on('connection', () => acceptedAfter.push(workCount));
  for (const socket of kept) socket.write(request);
  const fresh = Array.from({ length: 8 }, () => connect(port, '127.0.0.1'));
  for (const socket of fresh) socket.write(request);
  await Promise.all([...kept, ...fresh].map((socket) => new Promise<void>((resolve) => {
    socket.once('data', () => resolve());
  })));
  for (const socket of [...kept, ...fresh]) socket.destroy();
  server.close();
  // One turn forwarded all 40 requests of the kept connections.
  assert.is(acceptedAfter.length, 8);
  assert.ok(acceptedAfter.at(-1)! < 27, `accepted after ${acceptedAfter.join()} requests`);
});

test.run();

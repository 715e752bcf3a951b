import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { LogFields } from '../telemetry/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';
import { hops } from './_test_sick_call.ts';
import { createShutdownTracker } from './mod.ts';

const test = suite('half-open connections');

const clock = createSystemClock();
const TIMEOUT_MS = 3000;
const GRACE_MS = 5000;
/** Time that an instance works on a request; a FIN arrives well within it. */
const WORK_MS = 150;
/** Time within which the end of a connection is noticed, and in which no answer is made. */
const NOTICE_MS = 100;
/** Time from the deadline of a request until its refusal has arrived. */
const REFUSAL_MS = 500;

const kinds: readonly RouteKind[] = ['safe', 'unsafe', 'download'];

const answerAfterWork: Respond = (socket, headOf, count) => {
  setTimeout(() => answerSoundly(socket, headOf, count), WORK_MS);
};

const formatRequest = (kind: RouteKind, deadlineMs = 2500) => [
  `${kind === 'unsafe' ? 'POST' : 'GET'} /${kind}/a HTTP/1.1`,
  'host: shop.example',
  'request-id: r-1',
  `deadline-ms: ${deadlineMs}`,
  ...(kind === 'unsafe' ? ['content-length: 5', '', 'order'] : ['', '']),
].join('\r\n');

const setUp = async (hop: typeof hops[number], respond: Respond = answerAfterWork) => {
  const shutdown = { caller: createShutdownTracker(clock), peer: createShutdownTracker(clock) };
  const lines: LogFields[] = [];
  const path = await startPath({
    hop, timeoutMs: TIMEOUT_MS, shutdown, onCallerLog: (fields) => lines.push(fields),
  }, respond, answerSoundly);
  const { socket, closed, received } = openConnection(path.callerAddress);
  await once(socket, 'connect');
  const [instance] = path.instances;
  return {
    path,
    socket,
    received,
    lines,
    leave: (isPlanned = true) => {
      if (isPlanned) shutdown.caller.markPlanned();
      shutdown.caller.leave(clock.now() + GRACE_MS);
    },
    markPlanned: () => shutdown.caller.markPlanned(),
    close: () => shutdown.caller.close(),
    isRunning: () => isMet(() => instance!.usedConnections() === 1),
    runs: () => instance!.counts.requests,
    /** Returns whether the instance has lost the connection of its request. */
    isCancelled: () => isMet(() => instance!.usedConnections() === 0, NOTICE_MS),
    isClosed: (limitMs: number) => Promise.race([closed.then(() => true), sleep(limitMs, false)]),
    stop: async () => {
      socket.destroy();
      await path.stop();
    },
  };
};

type SetUp = Awaited<ReturnType<typeof setUp>>;

const checkAnswered = async ({ received, isClosed, path }: SetUp, answers = 1) => {
  assert.ok(await isClosed(answers * WORK_MS + REFUSAL_MS), 'the connection stays open');
  const complete = received().match(/HTTP\/1\.1 200 (?:(?!HTTP\/)[^])*?\r\n\r\nsound/gu) ?? [];
  assert.is(complete.length, answers, JSON.stringify(received()));
  assert.equal(path.outcomes, Array.from({ length: answers }, () => 'answered'));
};

for (const hop of hops) {
  for (const kind of kinds) {
    // A FIN broke off the run of a request that was in flight when its node began to stop.
    test(`${hop}, ${kind}: a FIN during a stop leaves a request in flight its answer`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.leave();
      node.socket.end();
      await checkAnswered(node);
      assert.match(node.received(), /connection: close/iu);
      await node.stop();
    });

    // A FIN behind a request that a stopping node had just taken broke off its run.
    test(`${hop}, ${kind}: a request that a FIN follows during a stop is answered`, async () => {
      const node = await setUp(hop);
      node.leave();
      node.socket.end(formatRequest(kind));
      await checkAnswered(node);
      await node.stop();
    });

    // The last phase of a stop waits for the answer, whatever the client does with its side.
    test(`${hop}, ${kind}: a FIN in the last phase of a stop leaves the answer`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.leave();
      const closed = node.close();
      const stopped = node.path.stopCallers();
      node.socket.end();
      await checkAnswered(node);
      await closed;
      await stopped;
      await node.stop();
    });

    test(`${hop}, ${kind}: a reset during a stop cancels the run`, async () => {
      const node = await setUp(hop);
      node.leave();
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.socket.resetAndDestroy();
      assert.ok(await node.isCancelled());
      await node.stop();
      assert.equal(node.path.outcomes, ['gone']);
    });

    // After an exception, instances worked on for clients that had left; the exit waited for it.
    test(`${hop}, ${kind}: a FIN after an exception cancels the run`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.leave(false);
      const closed = node.close();
      const stopped = node.path.stopCallers();
      node.socket.end();
      assert.ok(await node.isCancelled(), 'the run goes on');
      assert.ok(await node.isClosed(NOTICE_MS), 'the connection stays open');
      assert.is(node.received(), '');
      await Promise.all([closed, stopped]);
      await node.stop();
      assert.equal(node.path.outcomes, ['gone']);
      assert.is(node.lines.some(({ halfOpen }) => halfOpen !== undefined), false);
    });

    test(`${hop}, ${kind}: an exception after a signal leaves the answer`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.leave();
      node.leave(false);
      node.socket.end();
      await checkAnswered(node);
      await node.stop();
    });

    test(`${hop}, ${kind}: a signal after an exception leaves the answer`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.leave(false);
      node.markPlanned();
      node.socket.end();
      await checkAnswered(node);
      await node.stop();
    });

    // A client that has left looks the same, and its request must not take up an instance.
    test(`${hop}, ${kind}: a FIN at a running node cancels the run`, async () => {
      const node = await setUp(hop);
      node.socket.write(formatRequest(kind));
      assert.ok(await node.isRunning());
      node.socket.end();
      assert.ok(await node.isCancelled());
      assert.is(node.received(), '');
      node.leave();
      assert.ok(await node.isClosed(NOTICE_MS));
      await node.stop();
      assert.equal(node.path.outcomes, ['gone']);
      assert.is(node.lines.some(({ halfOpen }) => halfOpen !== undefined), false);
    });
  }

  // A FIN took the requests that waited for their turn on a connection of a stopping node.
  test(`${hop}: all requests before a FIN during a stop are answered, in order`, async () => {
    const node = await setUp(hop);
    node.socket.write(formatRequest('unsafe'));
    assert.ok(await node.isRunning());
    node.leave();
    node.socket.end(formatRequest('unsafe').repeat(2));
    await checkAnswered(node, 3);
    assert.is(node.runs(), 3);
    await node.stop();
  });

  // Requests ran one after the other for a client that had left a node that had failed.
  test(`${hop}: requests that wait behind a FIN after an exception are not run`, async () => {
    const node = await setUp(hop);
    node.socket.write(formatRequest('unsafe'));
    assert.ok(await node.isRunning());
    node.leave(false);
    node.socket.end(formatRequest('unsafe').repeat(2));
    assert.ok(await node.isCancelled());
    assert.ok(await node.isClosed(NOTICE_MS));
    await sleep(WORK_MS);
    assert.is(node.runs(), 1);
    await node.stop();
  });

  test(`${hop}: the deadline ends the run of a half-open client during a stop`, async () => {
    const node = await setUp(hop, () => undefined);
    node.leave();
    node.socket.end(formatRequest('safe', NOTICE_MS));
    assert.ok(await node.isClosed(NOTICE_MS + REFUSAL_MS));
    assert.ok(await node.isCancelled());
    assert.match(node.received(), /^HTTP\/1\.1 50\d /u);
    await node.stop();
  });
}

// Operators saw no difference between a request whose client had closed its side and another one.
test('the log tells which requests went on after a FIN', async () => {
  const node = await setUp('local');
  node.leave();
  node.socket.end(formatRequest('safe'));
  await checkAnswered(node);
  const [line] = node.lines.filter(({ outcome }) => outcome === 'answered');
  assert.is(line?.halfOpen, true);
  await node.stop();
});

test('a FIN on an idle connection ends it at once during a stop', async () => {
  for (const isUsed of [false, true]) {
    const node = await setUp('local', answerSoundly);
    if (isUsed) {
      node.socket.write(formatRequest('safe'));
      await once(node.socket, 'data');
    }
    node.leave();
    node.socket.end();
    assert.ok(await node.isClosed(NOTICE_MS));
    await node.stop();
  }
});

test('a FIN within a request ends its connection during a stop, and nothing runs', async () => {
  const node = await setUp('local', answerSoundly);
  node.leave();
  node.socket.end(formatRequest('unsafe').slice(0, -1));
  assert.ok(await node.isClosed(NOTICE_MS));
  assert.is(node.runs(), 0);
  await node.stop();
});

const incomplete: Readonly<Record<string, string>> = {
  head: 'GET /safe/b HTTP/1.1\r\nhost: sh',
  body: formatRequest('unsafe').slice(0, -1),
};

for (const hop of hops) {
  for (const kind of kinds) {
    for (const [part, text] of Object.entries(incomplete)) {
      // A FIN within the request behind it took the answer of a running request: 400, and its run
      // was cut.
      test(`${hop}, ${kind}: a FIN within the next ${part} leaves the answer`, async () => {
        const node = await setUp(hop);
        node.socket.write(formatRequest(kind));
        assert.ok(await node.isRunning());
        node.leave();
        node.socket.write(text);
        await sleep(20);
        node.socket.end();
        assert.ok(await node.isClosed(WORK_MS + REFUSAL_MS), 'the connection stays open');
        assert.match(node.received(), /^HTTP\/1\.1 200 [^]*sound$/u);
        assert.is(node.path.outcomes[0], 'answered');
        await node.stop();
      });
    }
  }
}

test.run();

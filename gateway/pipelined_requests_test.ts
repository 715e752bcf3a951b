import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';
import { hops } from './_test_sick_call.ts';
import { createShutdownTracker } from './mod.ts';

const test = suite('pipelined requests');

const clock = createSystemClock();
const TIMEOUT_MS = 3000;
const GRACE_MS = 5000;
const WORK_MS = 40;
const REQUESTS = 3;
/** Time in which a request that was passed on would have reached its instance. */
const SETTLE_MS = 150;

const kinds: readonly RouteKind[] = ['safe', 'unsafe', 'download'];

const answerAfterWork: Respond = (socket, headOf, count) => {
  setTimeout(() => answerSoundly(socket, headOf, count), WORK_MS);
};

const formatRequest = (kind: RouteKind, id: string, deadlineMs = 2500) => [
  `${kind === 'unsafe' ? 'POST' : 'GET'} /${kind}/a HTTP/1.1`,
  'host: shop.example',
  `request-id: ${id}`,
  `deadline-ms: ${deadlineMs}`,
  ...(kind === 'unsafe' ? ['content-length: 5', '', 'order'] : ['', '']),
].join('\r\n');

const idsOf = (kind: RouteKind, count = REQUESTS) => (
  Array.from({ length: count }, (_, index) => `${kind}-${index}`)
);

const setUp = async (hop: typeof hops[number], respond: Respond) => {
  const shutdown = { caller: createShutdownTracker(clock), peer: createShutdownTracker(clock) };
  const path = await startPath({ hop, timeoutMs: TIMEOUT_MS, shutdown }, respond, answerSoundly);
  const { socket, closed, received } = openConnection(path.callerAddress);
  return {
    path,
    shutdown,
    socket,
    closed,
    answers: () => received().split(/(?=HTTP\/1\.1 )/u).filter((text) => text !== ''),
    wasPassedOn: (id: string) => path.instances.some((instance) => (
      instance.received().some((text) => text.includes(`request-id: ${id}\r\n`))
    )),
    stop: async () => {
      socket.destroy();
      await path.stop();
    },
  };
};

type SetUp = Awaited<ReturnType<typeof setUp>>;

const statusOf = (answer = '') => (
  Number(/^HTTP\/1\.1 (?<status>\d+)/u.exec(answer)?.groups?.status)
);

/** Checks that each request has an answer of its own, in order, that tells whether it was run. */
const checkAnswers = ({ answers, wasPassedOn }: SetUp, ids: readonly string[]) => {
  const seen = answers();
  assert.is(seen.length, ids.length, JSON.stringify(seen));
  for (const [index, id] of ids.entries()) {
    const status = statusOf(seen[index]);
    if (status === 200) assert.ok(wasPassedOn(id), id);
    else {
      assert.is(status, 503, seen[index]);
      assert.not.ok(wasPassedOn(id), id);
    }
  }
};

const stops = {
  none: [], caller: ['caller'], peer: ['peer'], both: ['caller', 'peer'],
} as const;

// All requests behind the first one were run, and its `Connection: close` ended their connection.
for (const [stopping, nodes] of Object.entries(stops)) {
  for (const hop of hops) {
    for (const kind of kinds) {
      test(`${stopping} stopping, ${hop}, ${kind}: all are answered`, async () => {
        for (const isKept of [false, true]) {
          const setting = await setUp(hop, answerAfterWork);
          const { shutdown, socket, answers } = setting;
          const first = isKept ? ['first'] : [];
          if (isKept) {
            socket.write(formatRequest(kind, 'first'));
            assert.ok(await isMet(() => answers().join('').endsWith('sound'), TIMEOUT_MS));
          }
          for (const node of nodes) shutdown[node].leave(clock.now() + GRACE_MS);
          const ids = idsOf(kind);
          socket.write(ids.map((id) => formatRequest(kind, id)).join(''));
          await isMet(() => answers().length === first.length + REQUESTS, TIMEOUT_MS);
          await sleep(SETTLE_MS);
          checkAnswers(setting, [...first, ...ids]);
          for (const answer of answers()) assert.is(statusOf(answer), 200);
          const isEnded = shutdown.caller.phase() !== 'running';
          assert.is(/connection: close/iu.test(answers().at(-1)!), isEnded);
          await setting.stop();
        }
      });
    }
  }
}

// Guards against requests that lose their answers when the last phase of a stop begins.
for (const hop of hops) {
  for (const kind of kinds) {
    test(`${hop}, ${kind}: all are answered when the node closes meanwhile`, async () => {
      const setting = await setUp(hop, answerAfterWork);
      const { shutdown, socket, answers } = setting;
      const ids = idsOf(kind);
      shutdown.caller.leave(clock.now() + GRACE_MS);
      socket.write(ids.map((id) => formatRequest(kind, id)).join(''));
      await isMet(() => setting.wasPassedOn(ids[0]!));
      await shutdown.caller.close();
      await isMet(() => answers().length === REQUESTS, TIMEOUT_MS);
      await sleep(SETTLE_MS);
      checkAnswers(setting, ids);
      await setting.stop();
    });
  }
}

// Guards against a run for a caller that has stopped waiting.
for (const hop of hops) {
  test(`${hop}: a request whose deadline passes before its turn is not run`, async () => {
    const setting = await setUp(hop, (socket, headOf, count) => {
      setTimeout(() => answerSoundly(socket, headOf, count), 5 * WORK_MS);
    });
    const { socket, answers } = setting;
    socket.write(formatRequest('safe', 'first') + formatRequest('safe', 'late', WORK_MS));
    await isMet(() => answers().length === 2, TIMEOUT_MS);
    await sleep(SETTLE_MS);
    checkAnswers(setting, ['first', 'late']);
    assert.match(answers()[1]!, /^HTTP\/1\.1 503 .*not run/su);
    await setting.stop();
  });
}

const breakOff: Respond = (socket, headOf) => {
  setTimeout(() => {
    socket.write(`${headOf()}content-length: 100\r\n\r\nhalf`, () => socket.destroy());
  }, WORK_MS);
};

// Requests behind a response that was cut had been passed on, and ended without an answer.
for (const hop of hops) {
  for (const kind of kinds) {
    test(`${hop}, ${kind}: none is passed on behind a response that is cut`, async () => {
      const setting = await setUp(hop, breakOff);
      const ids = idsOf(kind);
      setting.socket.write(ids.map((id) => formatRequest(kind, id)).join(''));
      await setting.closed;
      await sleep(SETTLE_MS);
      assert.ok(setting.wasPassedOn(ids[0]!));
      for (const id of ids.slice(1)) assert.not.ok(setting.wasPassedOn(id), id);
      await setting.stop();
    });
  }
}

// Requests that waited for their turn were counted as in flight after their client had left.
for (const leave of ['end', 'destroy', 'resetAndDestroy'] as const) {
  test(`a client that leaves (${leave}) leaves no request in flight`, async () => {
    const setting = await setUp('local', (socket, headOf, count) => {
      setTimeout(() => answerSoundly(socket, headOf, count), TIMEOUT_MS / 2);
    });
    const { shutdown, socket } = setting;
    const ids = idsOf('unsafe');
    socket.write(ids.map((id) => formatRequest('unsafe', id)).join(''));
    await isMet(() => setting.wasPassedOn(ids[0]!));
    socket[leave]();
    assert.ok(await isMet(() => shutdown.caller.activeRequests() === 0));
    await sleep(SETTLE_MS);
    for (const id of ids.slice(1)) assert.not.ok(setting.wasPassedOn(id), id);
    await setting.stop();
  });
}

test.run();

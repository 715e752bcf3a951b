import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import { encodeRefusal } from '../forward/mod.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';
import { refuseNotRun } from './_refusals.ts';
import { createPeerClient } from './mod.ts';

const test = suite('answers written once more');

const hops = ['local', 'peer'] as const;
const COPY_DELAY_MS = 15;

type HeadOf = Parameters<Respond>[1];

/** Answers of which a faulty instance writes a second copy. */
const answers: Readonly<Record<string, (headOf: HeadOf) => string>> = {
  refusal: (headOf) => `${headOf(503)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`,
  'chunked refusal': (headOf) => (
    `${headOf(503)}not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n`
  ),
  'refusal for the deadline': (headOf) => (
    `${headOf(429)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`
  ),
  'refusal by another instance': (headOf) => `${headOf(421)}content-length: 0\r\n\r\n`,
  success: (headOf) => `${headOf()}content-length: 5\r\n\r\nother`,
  error: (headOf) => `${headOf(500)}content-length: 5\r\n\r\nother`,
};

/** How the copy names the earlier request. */
const names: Readonly<Record<string, (copy: string) => string>> = {
  'with its identifier': (copy) => copy,
  'without an identifier': (copy) => copy.replace(/Request-Id: \S+\r\n/u, ''),
  'with its identifier and the end of the connection': (copy) => (
    copy.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n')
  ),
};

/** Answers the first request, and each later one by the copy of that answer. */
const repeatAnswer = (
  answerOf: (headOf: HeadOf) => string,
  rename: (copy: string) => string,
): Respond => {
  let copy = '';
  return (socket, headOf, requestCount) => {
    if (requestCount > 1) {
      socket.write(copy);
      // The request runs all the same.
      setTimeout(() => socket.write(`${headOf()}content-length: 5\r\n\r\nsound`), COPY_DELAY_MS);
      return;
    }
    socket.write(answerOf(headOf));
    copy = rename(answerOf(headOf));
  };
};

const callTwice = async (hop: typeof hops[number], kind: RouteKind, respond: Respond) => {
  const path = await startPath({ hop }, respond);
  await path.call({ kind });
  await sleep(COPY_DELAY_MS * 2);
  const answer = await path.call({ kind });
  await sleep(COPY_DELAY_MS * 2);
  const open = path.instances[0]!.usedConnections();
  // undici may open a connection for later; only those that carried a request count.
  const connections = path.instances[0]!.received().filter((bytes) => bytes !== '').length;
  const { requests } = path.instances[0]!.counts;
  await path.stop();
  return {
    answer, open, connections, requests,
  };
};

// Clients were told `not run, try again` for requests that an instance had run or was running.
for (const hop of hops) {
  for (const [answerName, answerOf] of Object.entries(answers)) {
    for (const [name, rename] of Object.entries(names)) {
      test(`${hop}: a ${answerName} written again ${name} proves nothing`, async () => {
        for (const kind of ['unsafe', 'safe'] as const) {
          const {
            answer, open, connections, requests,
          } = await callTwice(
            hop,
            kind,
            repeatAnswer(answerOf, rename),
          );
          assert.is(answer.status, 502, kind);
          assert.match(answer.text, '"outcome":"unknown"');
          assert.is(connections, 1, kind);
          assert.is(requests, 2);
          assert.is(open, 0, 'the connection is not used again');
        }
      });
    }
  }
}

// The next caller on the connection got an answer that was not its own.
for (const hop of hops) {
  for (const [answerName, answerOf] of Object.entries(answers)) {
    for (const delayMs of [0, COPY_DELAY_MS]) {
      test(`${hop}: a ${answerName} written again after ${delayMs} ms reaches no one`, async () => {
        const respond: Respond = (socket, headOf, requestCount) => {
          if (requestCount > 1) {
            answerSoundly(socket, headOf, requestCount);
            return;
          }
          const copy = answerOf(headOf);
          if (delayMs === 0) socket.write(copy + copy);
          else {
            socket.write(copy);
            setTimeout(() => socket.write(copy), delayMs);
          }
        };
        const { answer, connections } = await callTwice(hop, 'unsafe', respond);
        assert.is(answer.text, 'sound');
        assert.is(connections, 2);
      });
    }
  }
}

// The copy arrives when the next request is on its way already.
for (const hop of hops) {
  test(`${hop}: a refusal written again after the answer leaves that answer whole`, async () => {
    let copy = '';
    const respond: Respond = (socket, headOf, requestCount) => {
      if (requestCount === 1) {
        copy = answers.refusal!(headOf);
        socket.write(copy);
      } else socket.write(`${headOf()}content-length: 5\r\n\r\nsound${copy}`);
    };
    const { answer, open } = await callTwice(hop, 'unsafe', respond);
    assert.is(answer.status, 200);
    assert.is(answer.text, 'sound');
    assert.is(open, 0);
  });
}

const clock = createSystemClock();

const renderRefusal = (requestId: string | undefined) => {
  const { refusal } = refuseNotRun('full', 100, { step: 'admission.acquire', peer: 'i-1' });
  const headers = encodeRefusal(refusal);
  const lines = [`HTTP/1.1 ${refusal.status} Text`, 'content-length: 0'];
  if (requestId !== undefined) lines.push(`request-id: ${requestId}`);
  for (let index = 0; index + 1 < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  return [...lines, '\r\n'].join('\r\n');
};

/** Sends requests to a peer that refuses each of them under the given identifiers. */
const sendToPeer = async (kind: RouteKind, ...refused: readonly (string | undefined)[]) => {
  let count = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined).on('data', () => {
      socket.write(renderRefusal(refused[count]));
      count += 1;
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const peers = createPeerClient({ clock, requestIdHeader: 'request-id' });
  const outcomes: string[] = [];
  for (const index of refused.keys()) {
    const { outcome } = await peers.send(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
      requestId: `r-${index}`,
      service: 'ledger',
      kind,
      priority: 1,
      workClass: 'a',
      key: undefined,
      instance: 'i-1',
      method: 'GET',
      path: '/',
      headers: ['host', 'a', 'request-id', `r-${index}`],
      body: null,
      deadlineAt: clock.now() + 500,
      latencyTargetAt: clock.now() + 300,
      isCallerRetry: false,
      withheld: 0,
      signal: new AbortController().signal,
    }, {
      start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
    });
    outcomes.push(outcome.kind === 'refused' ? outcome.refusal.outcome : outcome.kind);
  }
  await peers.close();
  server.close();
  return outcomes;
};

test('a refusal of a peer counts for the request that it names only', async () => {
  assert.equal(await sendToPeer('unsafe', 'r-0', 'r-0'), ['not run', 'unknown']);
  assert.equal(await sendToPeer('unsafe', 'r-0', undefined), ['not run', 'unknown']);
  assert.equal(await sendToPeer('safe', 'r-0', undefined), ['not run', 'not run']);
});

test.run();

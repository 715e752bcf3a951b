import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type CallOptions, isMet, MAX_CALM_PROCESSOR_MS, processorTimeMs, watchBuffers,
} from './_test_caller.ts';
import {
  answerSoundly, type Respond, ROUTE_TIMEOUT_MS, startPath, writeEndlessly,
} from './_test_path.ts';

const test = suite('bytes without end from an instance');

/** Time after the route's timeout by which each caller must have its final answer. */
const MAX_OVERRUN_MS = 450;
const MAX_BUFFER_GROWTH = 150_000_000;
const MAX_STALLED_GROWTH = 60_000_000;
const STREAM_INTERVAL_MS = 20;

const hops = ['local', 'peer'] as const;

/** Writes a short text at an interval until the other end closes the connection. */
const writeSlowly = (socket: Parameters<Respond>[0], text: string) => {
  const timer = setInterval(() => socket.write(text), STREAM_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
};

/** Sends a request to an instance that is sick once, and checks all that must hold afterwards. */
const callSick = async (hop: typeof hops[number], sick: Respond, options: CallOptions = {}) => {
  let isSick = true;
  const path = await startPath(hop, (...args) => {
    if (isSick) sick(...args);
    else answerSoundly(...args);
    isSick = false;
  }, answerSoundly);
  const stopWatching = watchBuffers();
  const limit = sleep(ROUTE_TIMEOUT_MS + MAX_OVERRUN_MS, undefined, { ref: false });
  const answer = await Promise.race([path.call(options), limit]);
  const growth = stopWatching();
  const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
  const isClosed = await isMet(() => path.instances[0]!.usedConnections() === 0);
  const processorMs = await processorTimeMs();
  const runs = path.instances.map(({ counts }) => counts.requests);
  const next = await path.call(options.kind === undefined ? {} : { kind: options.kind });
  const outcome = path.outcomes[0];
  await path.stop();
  assert.ok(answer !== undefined, 'no final answer in time');
  assert.ok(growth < MAX_BUFFER_GROWTH, `buffers grew by ${growth} bytes`);
  assert.ok(areSlotsFree, 'the slot was not released');
  assert.ok(isClosed, 'the connection to the instance stays open');
  assert.ok(processorMs < MAX_CALM_PROCESSOR_MS, `${processorMs} ms of processor time afterwards`);
  assert.is(next.text, 'sound');
  return { answer, runs, outcome };
};

const chunked = (write: Respond): Respond => (socket, headOf, count) => {
  socket.write(`${headOf()}transfer-encoding: chunked\r\n\r\n`);
  write(socket, headOf, count);
};

const endlessBodies: Readonly<Record<string, Respond>> = {
  'chunks at full speed': chunked((socket) => {
    writeEndlessly(socket, `8000\r\n${'x'.repeat(32_768)}\r\n`);
  }),
  'tiny chunks at full speed': chunked((socket) => writeEndlessly(socket, '1\r\nx\r\n')),
  'slow chunks': chunked((socket) => writeSlowly(socket, '1\r\nx\r\n')),
  'a chunk extension': chunked((socket) => {
    socket.write('5\r\nhello\r\n5;');
    writeEndlessly(socket, 'x');
  }),
  'zeros before a chunk size': chunked((socket) => {
    socket.write('5\r\nhello\r\n');
    writeEndlessly(socket, '0');
  }),
  'trailers after the body': chunked((socket) => {
    socket.write('5\r\nhello\r\n0\r\n');
    writeEndlessly(socket, `x-a: ${'b'.repeat(200)}\r\n`);
  }),
  'a body without a length': (socket, headOf) => {
    socket.write(`${headOf()}\r\n`);
    writeEndlessly(socket, 'x');
  },
  'a slow body without a length': (socket, headOf) => {
    socket.write(`${headOf()}\r\n`);
    writeSlowly(socket, 'x');
  },
  'a length that is never reached': (socket, headOf) => {
    socket.write(`${headOf()}content-length: 900000000000\r\n\r\n`);
    writeEndlessly(socket, 'x');
  },
};

// Guards against a body that keeps its slot and its caller until the caller leaves.
for (const hop of hops) {
  for (const [name, respond] of Object.entries(endlessBodies)) {
    for (const kind of hop === 'local' ? ['download', 'unsafe'] as const : ['download'] as const) {
      test(`${hop}, ${kind}: ${name} ends at the deadline with a reset`, async () => {
        const { answer, runs, outcome } = await callSick(hop, respond, { kind });
        assert.is(answer.isComplete, false);
        assert.equal(runs, [1, 0]);
        assert.is(outcome, 'truncated');
      });
    }
  }
}

/** Endless bytes in place of a head that end the attempt at once. */
const brokenHeads: Readonly<Record<string, Respond>> = {
  'a header without end': (socket, headOf) => {
    socket.write(`${headOf()}x-a: `);
    writeEndlessly(socket, 'x');
  },
  'headers without end': (socket, headOf) => {
    socket.write(headOf());
    writeEndlessly(socket, `x-a: ${'b'.repeat(200)}\r\n`);
  },
  garbage: (socket) => writeEndlessly(socket, '\0garbage'),
  'interim responses': (socket) => writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n'),
  'a status line without end': (socket) => {
    socket.write('HTTP/1.1 200 ');
    writeEndlessly(socket, 'x');
  },
  'line breaks': (socket) => writeEndlessly(socket, '\r\n'),
  'spaces before the value of a header': (socket, headOf) => {
    socket.write(`${headOf()}x-a:`);
    writeEndlessly(socket, ' ');
  },
};

// Guards against bytes before a head that are read at full speed until the deadline.
for (const hop of hops) {
  for (const [name, respond] of Object.entries(brokenHeads)) {
    test(`${hop}: ${name} in place of an answer let a safe request be repeated`, async () => {
      const { answer, runs } = await callSick(hop, respond);
      assert.is(answer.text, 'sound');
      assert.equal(runs, [1, 1]);
    });

    test(`${hop}: ${name} in place of an answer leave an unsafe request unknown`, async () => {
      const { answer, runs } = await callSick(hop, respond, { kind: 'unsafe' });
      assert.is(answer.status, 502);
      assert.match(answer.text, '"outcome":"unknown"');
      assert.equal(runs, [1, 0]);
    });
  }
}

/** Endless bytes in place of a head, which are read until the deadline. */
const delayedHeads: Readonly<Record<string, Respond>> = {
  'slow interim responses': (socket) => writeSlowly(socket, 'HTTP/1.1 102 Processing\r\n\r\n'),
};

for (const hop of hops) {
  for (const [name, respond] of Object.entries(delayedHeads)) {
    test(`${hop}: ${name} in place of an answer end at the deadline`, async () => {
      for (const kind of ['safe', 'unsafe'] as const) {
        const { answer, runs } = await callSick(hop, respond, { kind });
        assert.is(answer.status, 504);
        assert.match(answer.text, '"outcome":"unknown"');
        assert.equal(runs, [1, 0]);
      }
    });
  }
}

// Guards against interim responses that take the time that a second attempt needs.
for (const hop of hops) {
  test(`${hop}: thousands of interim responses before an answer end the attempt`, async () => {
    const { answer, runs } = await callSick(hop, (...args) => {
      args[0].write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000));
      answerSoundly(...args);
    });
    assert.is(answer.text, 'sound');
    assert.equal(runs, [1, 1]);
  });
}

const unwantedBodies: Readonly<Record<string, (socket: Parameters<Respond>[0]) => void>> = {
  'chunks at full speed': (socket) => writeEndlessly(socket, '5\r\nhello\r\n'),
  'slow chunks': (socket) => writeSlowly(socket, '1\r\nx\r\n'),
  'a chunk extension': (socket) => {
    socket.write('5;');
    writeEndlessly(socket, 'x');
  },
  silence: () => undefined,
};

const failure: Respond = (socket, headOf) => {
  socket.write(`${headOf(500)}transfer-encoding: chunked\r\n\r\n`);
};
const refusal: Respond = (socket, headOf) => {
  socket.write(`${headOf(503)}not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n`);
};

// Guards against a retry that waits for the start or the end of an error's body.
for (const hop of hops) {
  for (const [name, write] of Object.entries(unwantedBodies)) {
    test(`${hop}: ${name} after an error or a refusal do not delay the retry`, async () => {
      for (const writeHead of [failure, refusal]) {
        const { answer, runs } = await callSick(hop, (...args) => {
          writeHead(...args);
          write(args[0]);
        });
        assert.is(answer.status, 200);
        assert.equal(runs, [1, 1]);
      }
    });
  }
}

const closingBodies: Readonly<Record<string, Respond>> = {
  'a body without a length': endlessBodies['a body without a length']!,
  'chunks before a close': (socket, headOf) => {
    socket.write(`${headOf()}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, `8000\r\n${'x'.repeat(32_768)}\r\n`);
  },
  'chunks on a kept connection': endlessBodies['chunks at full speed']!,
};

// Guards against a node that keeps an endless body in memory for a caller that does not read.
for (const hop of hops) {
  for (const [name, respond] of Object.entries(closingBodies)) {
    test(`${hop}: ${name} to a caller that does not read takes little memory`, async () => {
      const path = await startPath(hop, respond, answerSoundly);
      const stopWatching = watchBuffers();
      const answer = path.call({ kind: 'download', reader: 'stalled' });
      const isEnded = await isMet(
        () => path.outcomes.length === 1,
        ROUTE_TIMEOUT_MS + MAX_OVERRUN_MS,
      );
      const growth = stopWatching();
      const [outcome] = path.outcomes;
      const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
      await path.stop();
      await answer;
      assert.ok(isEnded, 'the request goes on');
      assert.is(outcome, 'truncated');
      assert.ok(growth < MAX_STALLED_GROWTH, `buffers grew by ${growth} bytes`);
      assert.ok(areSlotsFree, 'the slot was not released');
    });
  }
}

const bytesAfterAnswer: Readonly<Record<string, string>> = {
  'line breaks': '\r\n',
  garbage: '\0x',
  'interim responses': 'HTTP/1.1 102 Processing\r\n\r\n',
  answers: 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello',
};

// Guards against bytes on an idle connection that cost processor time or count for a later request.
for (const [name, text] of Object.entries(bytesAfterAnswer)) {
  for (const delayMs of [0, 50]) {
    test(`${name} ${delayMs} ms after a complete answer close the connection`, async () => {
      const { answer, runs, outcome } = await callSick('local', (socket, headOf) => {
        socket.write(`${headOf()}content-length: 5\r\n\r\nhello`);
        if (delayMs === 0) writeEndlessly(socket, text);
        else setTimeout(() => writeEndlessly(socket, text), delayMs);
      });
      assert.is(answer.text, 'hello');
      assert.ok(answer.isComplete);
      assert.is(outcome, 'answered');
      assert.equal(runs, [1, 0]);
    });
  }
}

// Guards against a limit on bytes that are no answer that cuts a long answer to a slow caller.
for (const hop of hops) {
  test(`${hop}: a long sound answer arrives whole`, async () => {
    const chunk = `8000\r\n${'x'.repeat(32_768)}\r\n`;
    const path = await startPath(hop, chunked((socket) => {
      for (let count = 0; count < 200; count += 1) socket.write(chunk);
      socket.write('0\r\n\r\n');
    }));
    for (const kind of ['safe', 'download'] as const) {
      const answer = await path.call({ kind });
      assert.ok(answer.isComplete);
      assert.is(answer.bodyBytes, 200 * 32_768);
    }
    await path.stop();
  });
}

test('sound answers keep their connection', async () => {
  const path = await startPath('local', answerSoundly);
  for (let count = 0; count < 20; count += 1) assert.is((await path.call()).text, 'sound');
  const { connections, requests } = path.instances[0]!.counts;
  await path.stop();
  assert.is(requests, 20);
  assert.is(connections, 1);
});

test.run();

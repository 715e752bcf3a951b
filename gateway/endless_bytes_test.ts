import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { isMet } from '../testing/is_met.ts';
import { watchBuffers } from './_test_caller.ts';
import {
  answerSoundly, type Respond, ROUTE_TIMEOUT_MS, startPath, writeEndlessly,
} from './_test_path.ts';
import {
  callSick, hops, MAX_OVERRUN_MS, writeSlowly,
} from './_test_sick_call.ts';

const test = suite('bytes without end from an instance');

const MAX_STALLED_GROWTH = 60_000_000;
/** Timeout of a route in ms within which a busy machine transfers a long answer. */
const LONG_TIMEOUT_MS = 5000;

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
      const path = await startPath({ hop }, respond, answerSoundly);
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

/** The instances of some hosts have as many slots, and a host must not keep 16 MB for each. */
const MANY_SLOTS = 9;
/** The smallest hosts have 250 MB; a node needs 100 MB, and up to 84 MB for request bodies. */
const MAX_NODE_GROWTH = 66_000_000;

// Guards against endless bodies in all slots at once, each within the limit of a single one.
for (const hop of hops) {
  for (const [name, respond] of Object.entries(closingBodies)) {
    test(`${hop}: ${name} in all slots at once takes little memory`, async () => {
      const path = await startPath({ hop, slots: MANY_SLOTS }, respond, answerSoundly);
      const stopWatching = watchBuffers();
      const answers = Array.from({ length: MANY_SLOTS }, () => (
        path.call({ kind: 'download', reader: 'stalled' })
      ));
      const isEnded = await isMet(
        () => path.outcomes.length === MANY_SLOTS,
        ROUTE_TIMEOUT_MS + MAX_OVERRUN_MS,
      );
      const growth = stopWatching();
      const { outcomes } = path;
      const answered = outcomes.filter((outcome) => outcome === 'answered').length;
      const truncated = outcomes.filter((outcome) => outcome === 'truncated').length;
      const soundRuns = path.instances[1]!.counts.requests;
      const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
      await path.stop();
      await Promise.all(answers);
      assert.ok(isEnded, 'requests go on');
      // A body that is cut before its head was passed on may be asked for at the sound instance.
      assert.is(answered, soundRuns, outcomes.join());
      assert.is(truncated + answered, MANY_SLOTS, outcomes.join());
      const nodes = hop === 'local' ? 1 : 2;
      assert.ok(growth < nodes * MAX_NODE_GROWTH, `buffers grew by ${growth} bytes`);
      assert.ok(areSlotsFree, 'a slot was not released');
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
    const path = await startPath({ hop, timeoutMs: LONG_TIMEOUT_MS }, chunked((socket) => {
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
  const path = await startPath({ hop: 'local' }, answerSoundly);
  for (let count = 0; count < 20; count += 1) assert.is((await path.call()).text, 'sound');
  const { connections, requests } = path.instances[0]!.counts;
  await path.stop();
  assert.is(requests, 20);
  assert.is(connections, 1);
});

test.run();

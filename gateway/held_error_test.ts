import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ResponseSink } from '../forward/mod.ts';
import { createHeldErrors, type HeldError } from './_held_errors.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('held error');

const hops = ['local', 'peer'] as const;
const kinds = ['safe', 'download'] as const;

const errors: Readonly<Record<string, Respond>> = {
  'with a length': (socket, headOf) => {
    socket.write(`${headOf(500)}content-length: 6\r\n\r\nbroken`);
  },
  'in chunks': (socket, headOf) => {
    socket.write(`${headOf(500)}transfer-encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n`);
  },
  'without a length': (socket, headOf) => {
    socket.end(`${headOf(500)}\r\nbroken`);
  },
};

/** What becomes of the second attempt; without an instance, none is left for it. */
const secondAttempts: Readonly<Record<string, readonly Respond[]>> = {
  'finds no instance': [],
  'is refused': [(socket, headOf) => {
    socket.write(`${headOf(503)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
  }],
  'is cut': [(socket) => socket.resetAndDestroy()],
};

const callOnce = async (
  hop: typeof hops[number],
  kind: typeof kinds[number],
  responds: readonly Respond[],
) => {
  const path = await startPath({ hop }, ...responds);
  const answer = await path.call({ kind });
  const outcome = path.outcomes[0];
  await path.stop();
  return { answer, outcome };
};

// The error that an instance had answered was replaced by a 502 of the node.
for (const hop of hops) {
  for (const kind of kinds) {
    for (const [framing, error] of Object.entries(errors)) {
      for (const [fate, second] of Object.entries(secondAttempts)) {
        test(`${hop}, ${kind}: error ${framing} delivered when its retry ${fate}`, async () => {
          const { answer, outcome } = await callOnce(hop, kind, [error, ...second]);
          assert.is(answer.status, 500);
          assert.is(answer.text, 'broken');
          assert.ok(answer.isComplete);
          assert.is(answer.headers['response-seal'], 's');
          assert.is(outcome, 'answered');
        });
      }
    }
  }

  test(`${hop}: an error is not delivered when its retry succeeds`, async () => {
    const { answer } = await callOnce(hop, 'safe', [errors['in chunks']!, answerSoundly]);
    assert.is(answer.status, 200);
    assert.is(answer.text, 'sound');
  });

  test(`${hop}: a truncated or large error is not delivered`, async () => {
    const partialErrors: readonly Respond[] = [
      (socket, headOf) => {
        socket.write(`${headOf(500)}\r\nbro`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
      (socket, headOf) => {
        socket.write(`${headOf(500)}content-length: 300000\r\n\r\n${'x'.repeat(300_000)}`);
      },
    ];
    for (const error of partialErrors) {
      const { answer } = await callOnce(hop, 'safe', [error]);
      assert.is(answer.status, 502);
      assert.ok(answer.isComplete);
      assert.is(answer.headers['response-seal'], undefined);
    }
  });
}

const sink: ResponseSink = {
  start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
};

/** Reads a whole error, which is held if there is room for it. */
const hold = (held: HeldError, body: Buffer) => {
  const reader = held.read({ status: 500, headers: [] });
  if (reader.write(body)) reader.end();
};

// Guards against errors of many requests that together take any amount of memory.
test('the errors of all requests together are limited', () => {
  const openHeldError = createHeldErrors(1000);
  const holdOne = (bytes: number) => {
    const held = openHeldError();
    hold(held, Buffer.alloc(bytes));
    return held;
  };
  const first = holdOne(600);
  assert.equal(first.deliver(sink), { kind: 'answered', status: 500 });
  assert.is(holdOne(600).deliver(sink), undefined);
  first.release();
  first.release();
  assert.equal(holdOne(600).deliver(sink), { kind: 'answered', status: 500 });
  assert.is(holdOne(600).deliver(sink), undefined);
});

// Guards against one error without end that leaves no room for the errors of other requests.
test('an error takes only its part of the room, which is free once it is exceeded', () => {
  const openHeldError = createHeldErrors(1000, 400);
  const large = openHeldError();
  const reader = large.read({ status: 500, headers: [] });
  assert.ok(reader.write(Buffer.alloc(400)));
  assert.not.ok(reader.write(Buffer.alloc(1)));
  assert.not.ok(reader.write(Buffer.alloc(1)));
  reader.end();
  assert.is(large.deliver(sink), undefined);
  const others = Array.from({ length: 3 }, () => openHeldError());
  const areHeld = others.map((held) => {
    hold(held, Buffer.alloc(400));
    return held.deliver(sink) !== undefined;
  });
  assert.equal(areHeld, [true, true, false]);
});

// Guards against the memory of errors whose request ended while they were read.
test('a released error gives its room back and takes no more', () => {
  const openHeldError = createHeldErrors(1000);
  const held = openHeldError();
  const reader = held.read({ status: 500, headers: [] });
  assert.ok(reader.write(Buffer.alloc(900)));
  held.release();
  assert.not.ok(reader.write(Buffer.alloc(1)));
  const other = openHeldError();
  hold(other, Buffer.alloc(1000));
  assert.ok(other.deliver(sink) !== undefined);
});

test('a body that comes in parts is delivered whole', async () => {
  const held = createHeldErrors(1000)();
  const reader = held.read({ status: 500, headers: [] });
  for (const part of ['in', '', ' many', ' parts']) assert.ok(reader.write(Buffer.from(part)));
  assert.is(held.deliver(sink), undefined);
  reader.end();
  await held.isHeld;
  const written: string[] = [];
  const outcome = held.deliver({ ...sink, write: (part) => written.push(part.toString()) > 0 });
  assert.equal(outcome, { kind: 'answered', status: 500 });
  assert.is(written.join(''), 'in many parts');
});

test.run();

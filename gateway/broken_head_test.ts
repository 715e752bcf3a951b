import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { answerSoundly, type Respond, writeEndlessly } from './_test_path.ts';
import {
  callSick, callSickPromptly, hops, writeSlowly,
} from './_test_sick_call.ts';

const test = suite('bytes without end in place of a head, or after an error');

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
      const { answer, runs } = await callSickPromptly(hop, respond);
      assert.is(answer.text, 'sound');
      assert.equal(runs, [1, 1]);
    });

    test(`${hop}: ${name} in place of an answer leave an unsafe request unknown`, async () => {
      const { answer, runs } = await callSickPromptly(hop, respond, { kind: 'unsafe' });
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
    const { answer, runs } = await callSickPromptly(hop, (...args) => {
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
        const { answer, runs } = await callSickPromptly(hop, (...args) => {
          writeHead(...args);
          write(args[0]);
        });
        assert.is(answer.status, 200);
        assert.equal(runs, [1, 1]);
      }
    });
  }
}

test.run();

import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { CallOptions } from './_test_caller.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('response without a body');

const CUT_DELAY_MS = 20;

const hops = ['local', 'peer'] as const;

const writeHeads: Readonly<Record<string, Respond>> = {
  'a head with a length': (socket, headOf) => {
    socket.write(`${headOf()}content-length: 5\r\n\r\n`);
  },
  'a head of chunks': (socket, headOf) => {
    socket.write(`${headOf()}transfer-encoding: chunked\r\n\r\n`);
  },
};

const cuts = ['resetAndDestroy', 'end'] as const;

const callCut = async (
  hop: typeof hops[number],
  writeHead: Respond,
  cut: typeof cuts[number] | undefined,
  options: CallOptions,
) => {
  const path = await startPath({ hop }, (socket, ...rest) => {
    writeHead(socket, ...rest);
    if (cut !== undefined) setTimeout(() => socket[cut](), CUT_DELAY_MS);
  }, answerSoundly);
  const answer = await path.call(options);
  const runs = path.instances.map(({ counts }) => counts.requests);
  await path.stop();
  return { answer, runs };
};

// The connection of the caller was reset, although nothing had been sent on it.
for (const hop of hops) {
  for (const [name, writeHead] of Object.entries(writeHeads)) {
    for (const cut of cuts) {
      test(`${hop}, ${cut}: a safe request is repeated after ${name} without a body`, async () => {
        const { answer, runs } = await callCut(hop, writeHead, cut, { kind: 'safe' });
        assert.is(answer.status, 200);
        assert.is(answer.text, 'sound');
        assert.ok(answer.isComplete);
        assert.equal(runs, [1, 1]);
      });

      test(`${hop}, ${cut}: an unsafe request gets 502 after ${name} without a body`, async () => {
        const { answer, runs } = await callCut(hop, writeHead, cut, { kind: 'unsafe' });
        assert.is(answer.status, 502);
        assert.ok(answer.isComplete);
        assert.match(answer.text, '"outcome":"unknown"');
        assert.is(answer.headers['response-seal'], undefined);
        assert.equal(runs, [1, 0]);
      });
    }
  }

  test(`${hop}: a download whose body never begins gets 504 at its deadline`, async () => {
    const [writeHead] = Object.values(writeHeads);
    const { answer, runs } = await callCut(hop, writeHead!, undefined, { kind: 'download' });
    assert.is(answer.status, 504);
    assert.ok(answer.isComplete);
    assert.equal(runs, [1, 0]);
  });
}

test.run();

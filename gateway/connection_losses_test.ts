import type { Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, startPath } from './_test_path.ts';

const test = suite('connection losses');

/** Opens two connections to an instance, ends them, and counts the reported losses. */
const countLosses = async (end: (sockets: readonly Socket[]) => void, isAnswering: boolean) => {
  const sockets = new Set<Socket>();
  let losses = 0;
  const onConnectionsLost = () => {
    losses += 1;
  };
  const path = await startPath({ hop: 'local', onConnectionsLost }, (socket, ...rest) => {
    sockets.add(socket);
    if (isAnswering) setTimeout(() => answerSoundly(socket, ...rest), 30);
  });
  const calls = [1, 2].map(() => path.call({ kind: 'unsafe' }));
  assert.ok(await isMet(() => sockets.size === 2));
  if (isAnswering) await Promise.all(calls);
  end([...sockets]);
  await Promise.all(calls);
  await isMet(() => losses > 0, 60);
  await path.stop();
  return losses;
};

// Guards against full load on an instance that was restarted, as its connections end all at once,
// and against a limit on instances that close a connection now and then.
test('connections that all end at once are reported, but not a single one', async () => {
  for (const end of ['destroy', 'resetAndDestroy'] as const) {
    for (const isAnswering of [true, false]) {
      assert.ok(await countLosses((all) => all.forEach((one) => one[end]()), isAnswering) > 0);
    }
  }
  assert.is(await countLosses(([first]) => first!.end(), true), 0);
});

test.run();

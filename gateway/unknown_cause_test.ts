import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('cause of an unknown outcome');

const reset: Respond = (socket) => socket.resetAndDestroy();
const neverAnswer: Respond = () => undefined;

const callUnsafe = async (hop: 'local' | 'peer', respond: Respond) => {
  const path = await startPath({ hop }, respond, answerSoundly);
  await path.call({ kind: 'unsafe' });
  await path.stop();
  return path.unknowns;
};

// Guards against errors of a node whose causes only a complete log tells apart.
test('a request that may have run is summed up with its status and cause', async () => {
  assert.equal(await callUnsafe('local', reset), [{ status: 502, cause: 'connection' }]);
  assert.equal(await callUnsafe('local', neverAnswer), [{ status: 504, cause: 'deadline' }]);
  assert.equal(await callUnsafe('peer', reset), [{ status: 502, cause: 'told by a peer' }]);
  assert.equal(await callUnsafe('local', answerSoundly), [undefined]);
});

test.run();

import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createUnfinishedWork, type WorkEnd } from './_unfinished_work.ts';

const test = suite('unfinished work');

const REMAINING_MS = 1000;

const ends: readonly { readonly end: WorkEnd | undefined; readonly until: number }[] = [
  { end: 'answered', until: 0 },
  { end: 'lost', until: 0 },
  { end: 'abandoned', until: REMAINING_MS },
  { end: undefined, until: Infinity },
];

// Guards against keys that are given away while an instance works on a request that was given up.
for (const { end, until } of ends) {
  test(`a request that is ${end ?? 'open'} is unfinished for ${until} ms`, async () => {
    const clock = createFakeClock();
    const work = createUnfinishedWork(clock);
    const finish = work.begin(REMAINING_MS);
    assert.ok(work.exists());
    if (end !== undefined) finish(end);
    assert.is(work.exists(), until > 0);
    await clock.advance(REMAINING_MS);
    assert.is(work.exists(), until >= REMAINING_MS);
    await clock.advance(REMAINING_MS);
    assert.is(work.exists(), until === Infinity);
  });
}

test('a lost request ends the abandoned ones, but no open one', () => {
  const work = createUnfinishedWork(createFakeClock());
  const [abandon, lose, answer] = [1, 2, 3].map(() => work.begin(REMAINING_MS));
  abandon!('abandoned');
  lose!('lost');
  assert.ok(work.exists());
  answer!('answered');
  assert.not.ok(work.exists());
});

// An instance that closes a connection without an answer may go on with the request.
test('a lost request is unfinished if a sign of life follows', async () => {
  const clock = createFakeClock();
  const work = createUnfinishedWork(clock);
  work.begin(REMAINING_MS)('lost');
  // A response that the process sent before it ended may be read a moment later.
  await clock.advance(20);
  work.recordLife();
  assert.not.ok(work.exists());
  await clock.advance(500);
  work.recordLife();
  assert.ok(work.exists());
  await clock.advance(REMAINING_MS);
  assert.not.ok(work.exists());
});

test.run();

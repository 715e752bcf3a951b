import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createUnsentResponses } from './_unsent_responses.ts';

const test = suite('unsent responses');

test('a response is given up beyond its own limit', () => {
  const unsent = createUnsentResponses({ maxBytes: 10, maxTotalBytes: 100 });
  let bytes = 10;
  const response = unsent.add(() => bytes);
  assert.not(response.isExceeded());
  bytes = 11;
  assert.ok(response.isExceeded());
});

// Responses that each kept less than the limit of one exceeded the memory of a host together.
test('beyond the sum, responses that keep the most are given up', () => {
  const unsent = createUnsentResponses({ maxBytes: 50, maxTotalBytes: 100 });
  const kept = [40, 40, 40, 5];
  const responses = kept.map((_, index) => unsent.add(() => kept[index]!));
  const exceeded = responses.map(({ isExceeded }) => isExceeded());
  assert.equal(exceeded, [false, false, true, false]);
  kept[2] = 0;
  assert.not(responses[0]!.isExceeded());
  assert.not(responses[3]!.isExceeded());
});

test('a response that has ended counts until its bytes are sent', () => {
  const unsent = createUnsentResponses({ maxBytes: 100, maxTotalBytes: 100 });
  let kept = 90;
  assert.not(unsent.add(() => kept).isExceeded());
  const next = unsent.add(() => 60);
  assert.ok(next.isExceeded());
  kept = 0;
  assert.not(next.isExceeded());
});

test.run();

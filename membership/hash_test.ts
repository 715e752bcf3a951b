import fc from 'fast-check';
import { xxHash32 } from 'js-xxhash';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import xxhash from 'xxhash-wasm';

const test = suite('xxh32');

test('returns the published values', () => {
  assert.is(xxHash32(''), 0x02CC5D05);
  assert.is(xxHash32('abc'), 0x32D153FF);
});

// Nodes of different versions must rank the same members in the same order.
test('agrees with the library for any text', async () => {
  const { h32 } = await xxhash();
  fc.assert(fc.property(fc.string({ unit: 'binary', maxLength: 100 }), (text) => {
    assert.is(xxHash32(text), h32(text));
  }));
});

test.run();

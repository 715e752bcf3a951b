import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createChunkCollector } from './mod.ts';

const test = suite('chunk collector');

/** Adds chunks of one size; returns the body that they make. */
const addAll = (
  { add }: ReturnType<typeof createChunkCollector>,
  totalBytes: number,
  chunkBytes: number,
) => {
  const expected = Buffer.alloc(totalBytes);
  for (let at = 0; at < totalBytes; at += chunkBytes) {
    const end = Math.min(at + chunkBytes, totalBytes);
    expected.fill((at / chunkBytes) % 251, at, end);
    if (!add(expected.subarray(at, end))) return undefined;
  }
  return expected;
};

for (const chunkBytes of [1, 16, 32, 100, 4095, 16_384, 5_000_000]) {
  test(`joins chunks of ${chunkBytes} bytes in order`, () => {
    for (const totalBytes of [chunkBytes, 100_000, 6_000_000]) {
      const collector = createChunkCollector({ maxBytes: 6_000_000 });
      assert.ok(addAll(collector, totalBytes, chunkBytes)?.equals(collector.finish()));
    }
  });
}

test('a declared length is filled without another allocation', () => {
  let reservedBytes = 0;
  const collector = createChunkCollector({
    maxBytes: 100,
    initialBytes: 10,
    reserve: (bytes) => {
      reservedBytes += bytes;
      return true;
    },
  });
  assert.ok(addAll(collector, 10, 3)?.equals(collector.finish()));
  assert.is(reservedBytes, 0);
});

test('an empty body is an empty buffer', () => {
  assert.is(createChunkCollector({ maxBytes: 10 }).finish().length, 0);
});

test('a chunk beyond the limit is refused, and so is all after it', () => {
  const collector = createChunkCollector({ maxBytes: 10 });
  assert.ok(collector.add(Buffer.alloc(10)));
  assert.not(collector.add(Buffer.alloc(1)));
});

// Guards against memory that is used without being reserved, in bodies below and above the size
// up to which the capacity is doubled.
for (const bytes of [1, 5000, 3_000_000, 30_000_000]) {
  test(`a body of ${bytes} bytes reserves at least its size, and at most the double`, () => {
    let reservedBytes = 0;
    const collector = createChunkCollector({
      maxBytes: 67_108_864,
      reserve: (more) => {
        reservedBytes += more;
        return true;
      },
    });
    const chunk = Buffer.alloc(Math.min(bytes, 1000));
    for (let at = 0; at < bytes; at += chunk.length) assert.ok(collector.add(chunk));
    assert.ok(reservedBytes >= bytes, `${reservedBytes} bytes are reserved`);
    assert.ok(reservedBytes <= Math.max(4096, 2 * bytes), `${reservedBytes} bytes are reserved`);
  });
}

test('with room for the body but not for twice as much, the body is kept', () => {
  const roomBytes = 5000;
  let reservedBytes = 0;
  const collector = createChunkCollector({
    maxBytes: 10_000,
    reserve: (more) => {
      if (reservedBytes + more > roomBytes) return false;
      reservedBytes += more;
      return true;
    },
  });
  assert.ok(addAll(collector, roomBytes, 7)?.equals(collector.finish()));
  assert.not(collector.add(Buffer.alloc(1)));
});

test.run();

import { PassThrough, Readable } from 'node:stream';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { readStreamText } from './mod.ts';

const test = suite('text of a stream');

test('characters that are split between chunks are read whole', async () => {
  const bytes = Buffer.from('Größe 🌿');
  const stream = Readable.from([...bytes].map((byte) => Buffer.from([byte])), {
    objectMode: false,
  });
  assert.is(await readStreamText(stream, 100), 'Größe 🌿');
});

test('a stream that is too long is destroyed', async () => {
  const stream = new PassThrough();
  const text = readStreamText(stream, 10);
  stream.write(Buffer.alloc(11));
  await text.then(assert.unreachable, (error: Error) => assert.instance(error, RangeError));
  assert.ok(stream.destroyed);
});

test('a stream that fails or is closed within its bytes rejects', async () => {
  for (const error of [new Error('reset'), undefined]) {
    const stream = new PassThrough();
    const text = readStreamText(stream, 10);
    stream.write('abc');
    stream.destroy(error);
    await text.then(() => assert.unreachable(), () => undefined);
  }
});

test.run();

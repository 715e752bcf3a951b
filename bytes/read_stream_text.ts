import { finished, type Readable } from 'node:stream';
import { createChunkCollector } from './chunk_collector.ts';

/**
 * Reads a stream to its end as UTF-8. The `text()` of undici keeps each chunk as an object of its
 * own, so that a limit in bytes does not bound its memory.
 *
 * @param stream The stream.
 * @param maxBytes Largest number of bytes; more of them destroy the stream.
 * @returns The text; rejects if the stream fails or is too long.
 *
 * @example
 * const text = await readStreamText(response.body, 1_048_576);
 */
export const readStreamText = (stream: Readable, maxBytes: number): Promise<string> => (
  new Promise((resolve, reject) => {
    const collector = createChunkCollector({ maxBytes });
    const onData = (chunk: Buffer) => {
      if (collector.add(chunk)) return;
      stream.off('data', onData);
      const error = new RangeError(`more than ${maxBytes} bytes`);
      stream.destroy(error);
      reject(error);
    };
    finished(stream, { writable: false }, (error) => {
      if (error) reject(error);
      else resolve(new TextDecoder().decode(collector.finish()));
    });
    stream.on('data', onData);
  })
);

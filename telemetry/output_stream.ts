import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { Writable } from 'node:stream';

/** Bytes that may wait for a slow reader of standard output before lines are dropped. */
const MAX_WAITING_BYTES = 262_144;
const STANDARD_OUTPUT = 1;

const openOutput = (): Writable => {
  const status = fstatSync(STANDARD_OUTPUT);
  // Node writes to pipes synchronously, which would stop the process behind a slow reader.
  if (status.isFIFO() || status.isSocket()) {
    return new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  }
  return process.stdout;
};

/**
 * Opens standard output for log lines. Writes never block, and lines are dropped while too many
 * bytes wait.
 *
 * @returns The stream.
 *
 * @example
 * const logger = createLogger('node', { stream: openLogOutput() });
 */
export const openLogOutput = (): NodeJS.WritableStream => {
  const output = openOutput();
  // Without a reader there is nowhere to report the loss of lines.
  output.on('error', () => undefined);
  return new Writable({
    write: (chunk: Buffer, _, done) => {
      if (output.writableLength < MAX_WAITING_BYTES) output.write(chunk);
      done();
    },
  });
};

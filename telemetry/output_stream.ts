import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { Writable } from 'node:stream';

/** Lines are dropped while a slow reader of standard output leaves this much unread. */
const MAX_BUFFERED_BYTES = 262_144;
const STDOUT_FD = 1;

const openOutput = (): Writable => {
  const status = fstatSync(STDOUT_FD);
  // `process.stdout` writes to pipes synchronously, so a slow reader would block the process.
  if (status.isFIFO() || status.isSocket()) {
    return new Socket({ fd: STDOUT_FD, readable: false, writable: true });
  }
  return process.stdout;
};

/**
 * Opens standard output for log lines. Writes never block; lines are dropped while the buffer is
 * full.
 *
 * @returns The stream.
 *
 * @example
 * const logger = createLogger('node', { stream: openLogOutput() });
 */
export const openLogOutput = (): NodeJS.WritableStream => {
  const output = openOutput();
  // When the reader has gone, there is nowhere to report the error.
  output.on('error', () => undefined);
  return new Writable({
    write: (chunk: Buffer, _, done) => {
      if (output.writableLength < MAX_BUFFERED_BYTES) output.write(chunk);
      done();
    },
  });
};

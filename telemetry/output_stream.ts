import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';
import { Writable } from 'node:stream';
import type { Clock } from '../clock/mod.ts';
import { createLineBuffer } from './_line_buffer.ts';

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
 * full. Lines are written in batches, and the last ones when the process exits.
 *
 * @param clock Clock of the batches.
 * @returns The stream.
 *
 * @example
 * const logger = createLogger('node', { stream: openLogOutput(clock) });
 */
export const openLogOutput = (clock: Clock): NodeJS.WritableStream => {
  const output = openOutput();
  // When the reader has gone, there is nowhere to report the error.
  output.on('error', () => undefined);
  const buffer = createLineBuffer({
    clock,
    write: (lines) => {
      if (output.writableLength < MAX_BUFFERED_BYTES) output.write(lines);
    },
  });
  process.once('exit', () => {
    const lines = buffer.take();
    if (lines === '') return;
    try {
      writeSync(STDOUT_FD, lines);
    } catch {
      // The reader has gone, or the pipe is full.
    }
  });
  return new Writable({
    decodeStrings: false,
    write: (line: string | Buffer, _, done) => {
      buffer.append(String(line));
      done();
    },
  });
};

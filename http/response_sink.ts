import type { ServerResponse } from 'node:http';
import type { AnswerSink } from '../forward/mod.ts';
import type { AnswerBuffer } from './answer_buffer.ts';

/**
 * Writes an answer to an HTTP response; `addHeaders` appends to its headers. With a buffer, the
 * answer is read ahead of its reader as long as the buffer has room.
 */
export const createResponseSink = (
  response: ServerResponse,
  addHeaders: (headers: string[]) => void,
  buffer?: AnswerBuffer,
): AnswerSink => ({
  start: (status, headers, endsWithConnection) => {
    if (response.destroyed) return 'cancel';
    addHeaders(headers);
    if (endsWithConnection) {
      // Chunks would make an answer look complete that its sender may have broken off.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    try {
      response.writeHead(status, headers);
    } catch {
      // The upstream sent a header that HTTP does not allow.
      return 'cancel';
    }
    buffer?.track(response);
    return 'deliver';
  },
  write: (chunk) => response.write(chunk) || buffer?.hasRoom() === true,
  onDrain: (resume) => {
    response.once('drain', resume);
  },
  end: () => {
    response.end();
  },
});

/**
 * Ends a truncated answer. A reset cannot be taken for the end of an answer without a length.
 */
export const resetConnection = (response: ServerResponse): void => {
  response.socket?.resetAndDestroy();
  response.destroy();
};

import type { ServerResponse } from 'node:http';
import type { ResponseSink } from '../forward/mod.ts';
import type { ResponseBuffer } from './response_buffer.ts';

/** Largest number of unsent writes; each takes far more memory than a few bytes of body. */
const MAX_PENDING_WRITES = 1024;
/** Approximate memory of an unsent write in addition to its bytes. */
const WRITE_OVERHEAD_BYTES = 512;

/**
 * Creates a sink that writes to an HTTP response.
 *
 * @param response Response to write to.
 * @param addHeaders Appends names and values in turn to the headers before they are sent.
 * @param buffer Lets the response be read ahead of a slow client while it has room.
 * @returns The sink.
 *
 * @example
 * const sink = createResponseSink(response, (headers) => headers.push('x-request-id', id));
 */
export const createResponseSink = (
  response: ServerResponse,
  addHeaders: (headers: string[]) => void,
  buffer?: ResponseBuffer,
): ResponseSink => {
  /** Writes since the response last had no unsent bytes. */
  let pendingWrites = 0;
  return {
    start: (status, headers, endsWithConnection) => {
      if (response.destroyed) return 'cancel';
      addHeaders(headers);
      if (endsWithConnection) {
        // Chunked encoding would make a response look complete whose sender may have aborted it.
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
      try {
        response.writeHead(status, headers);
      } catch {
        // The upstream sent a header that is not valid in HTTP.
        return 'cancel';
      }
      buffer?.track(response);
      return 'deliver';
    },
    write: (chunk) => {
      if (response.write(chunk)) {
        pendingWrites = 0;
        return true;
      }
      pendingWrites += 1;
      return pendingWrites < MAX_PENDING_WRITES && buffer?.hasRoom() === true;
    },
    onDrain: (resume) => {
      response.once('drain', () => {
        pendingWrites = 0;
        resume();
      });
    },
    unsentBytes: () => response.writableLength + pendingWrites * WRITE_OVERHEAD_BYTES,
    end: () => {
      response.end();
    },
  };
};

/**
 * Resets the connection of a truncated response. A plain close would pass for the end of a response
 * without a declared length.
 *
 * @param response The truncated response.
 *
 * @example
 * if (end.kind === 'truncated') resetConnection(response);
 */
export const resetConnection = (response: ServerResponse): void => {
  response.socket?.resetAndDestroy();
  response.destroy();
};

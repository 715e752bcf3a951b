import { type ServerResponse, validateHeaderName, validateHeaderValue } from 'node:http';
import { chunkMemoryBytes } from '../bytes/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { noteEndReason } from './_end_causes.ts';
import type { ResponseBuffer } from './response_buffer.ts';

/** Largest number of unsent writes; each takes far more memory than a few bytes of body. */
const MAX_PENDING_WRITES = 1024;

const MAX_STATUS = 999;

interface PendingHead {
  readonly status: number;
  readonly headers: string[];
}

/** Throws an error if Node.js would not send a response with this status and these headers. */
const validateHead = (status: number, headers: readonly string[]) => {
  if (status > MAX_STATUS) throw new RangeError(`invalid status ${status}`);
  for (let index = 0; index + 1 < headers.length; index += 2) {
    validateHeaderName(headers[index]!);
    validateHeaderValue(headers[index]!, headers[index + 1]!);
  }
};

/**
 * Creates a sink that writes to an HTTP response. The head is kept until the first part of the body
 * or the end arrives, so that a response whose sender fails before can be replaced by another one.
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
  let pendingHead: PendingHead | undefined;
  const memoryBytes = () => chunkMemoryBytes(response.writableLength, pendingWrites);

  const writePendingHead = () => {
    if (pendingHead === undefined) return;
    const { status, headers } = pendingHead;
    pendingHead = undefined;
    // A body without a declared length is sent in chunks. If it ended with its connection, it would
    // look complete when this process is killed, as the system then closes the connection.
    response.writeHead(status, headers);
    buffer?.track(response, memoryBytes);
  };

  return {
    start: (status, headers) => {
      if (response.destroyed) return 'cancel';
      addHeaders(headers);
      try {
        validateHead(status, headers);
      } catch {
        // The upstream sent a header that is not valid in HTTP.
        return 'cancel';
      }
      pendingHead = { status, headers };
      return 'deliver';
    },
    write: (chunk) => {
      writePendingHead();
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
    unsentBytes: () => (response.destroyed ? 0 : memoryBytes()),
    flushHead: () => {
      writePendingHead();
      response.flushHeaders();
    },
    end: () => {
      writePendingHead();
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
  if (response.socket) noteEndReason(response.socket, 'response cut');
  response.socket?.resetAndDestroy();
  response.destroy();
};

import type { ServerResponse } from 'node:http';

/** Limit on response bytes buffered for slow clients. */
export interface ResponseBuffer {
  /** Counts the memory of unsent writes against the limit until the response closes. */
  readonly track: (response: ServerResponse, memoryBytes: () => number) => void;
  /** Returns whether more bytes may be buffered while sockets apply backpressure. */
  readonly hasRoom: () => boolean;
  /** Returns the bytes of all open responses that are buffered here. */
  readonly unsentBytes: () => number;
}

/**
 * Creates a response buffer shared by all responses of a listener. An instance's slot is free once
 * its response is read to the end, so buffering keeps clients on slow links from holding slots that
 * short requests wait for, as with large downloads. Beyond the limit, responses are read no faster
 * than they are sent.
 *
 * @param maxBytes Largest memory in bytes of what is buffered over all responses.
 * @returns The buffer.
 *
 * @example
 * const sink = createResponseSink(response, addHeaders, createResponseBuffer(2_097_152));
 */
export const createResponseBuffer = (maxBytes: number): ResponseBuffer => {
  const responses = new Map<ServerResponse, () => number>();
  const unsentBytes = () => {
    let bufferedBytes = 0;
    for (const { writableLength } of responses.keys()) bufferedBytes += writableLength;
    return bufferedBytes;
  };
  const hasRoom = () => {
    let memoryBytes = 0;
    for (const countMemory of responses.values()) memoryBytes += countMemory();
    return memoryBytes < maxBytes;
  };
  return {
    unsentBytes,
    track: (response, memoryBytes) => {
      responses.set(response, memoryBytes);
      response.once('close', () => responses.delete(response));
    },
    hasRoom,
  };
};

import type { ServerResponse } from 'node:http';

/** Limit on response bytes buffered for slow clients. */
export interface ResponseBuffer {
  /** Counts the unsent bytes of a response against the limit until the response closes. */
  readonly track: (response: ServerResponse) => void;
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
 * @param maxBytes Largest number of bytes buffered over all responses.
 * @returns The buffer.
 *
 * @example
 * const sink = createResponseSink(response, addHeaders, createResponseBuffer(2_097_152));
 */
export const createResponseBuffer = (maxBytes: number): ResponseBuffer => {
  const responses = new Set<ServerResponse>();
  const unsentBytes = () => {
    let bufferedBytes = 0;
    for (const { writableLength } of responses) bufferedBytes += writableLength;
    return bufferedBytes;
  };
  return {
    unsentBytes,
    track: (response) => {
      responses.add(response);
      response.once('close', () => responses.delete(response));
    },
    hasRoom: () => unsentBytes() < maxBytes,
  };
};

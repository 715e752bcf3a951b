import type { ServerResponse } from 'node:http';

/** Holds parts of answers that their readers are slow to take. */
export interface AnswerBuffer {
  /** Counts the unsent bytes of a response until it closes. */
  readonly track: (response: ServerResponse) => void;
  /** Tells whether more bytes may be held than the sockets take at once. */
  readonly hasRoom: () => boolean;
}

/**
 * Creates a buffer that all answers of a listener share. An instance is done with a request as soon
 * as its answer is read, so that readers behind slow links occupy no slot; beyond the limit,
 * answers are read no faster than they are sent.
 *
 * Answers large downloads through small links: slots held by readers keep short requests waiting.
 *
 * @param maxBytes Bytes that may be held.
 * @returns The buffer.
 *
 * @example
 * const sink = createResponseSink(response, addHeaders, createAnswerBuffer(2_097_152));
 */
export const createAnswerBuffer = (maxBytes: number): AnswerBuffer => {
  const responses = new Set<ServerResponse>();
  return {
    track: (response) => {
      responses.add(response);
      response.once('close', () => responses.delete(response));
    },
    hasRoom: () => {
      let held = 0;
      for (const { writableLength } of responses) held += writableLength;
      return held < maxBytes;
    },
  };
};

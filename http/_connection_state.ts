import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ConnectionInput } from './_idle_input.ts';
import type { RequestTurns } from './_request_turns.ts';

/** What a server knows of one connection. */
export interface ConnectionState extends ConnectionInput {
  readonly turns: RequestTurns;
  requestCount: number;
  unreadRequest?: IncomingMessage | undefined;
  /**
   * Responses that have not been handed to the operating system to their end, each with the
   * function that ends its count among the open requests.
   */
  readonly responses: Map<ServerResponse, () => void>;
  /** Bytes read until the end of the last request; more have been read of an incomplete one. */
  requestsEndAt: number;
  /** Last response before invalid input, after which the connection ends. */
  lastResponse?: ServerResponse;
  /** Bytes read when the invalid input was found. */
  errorAt: number;
  /** The final response is sent, and further requests are discarded. */
  isFinished: boolean;
}

/** Creates the state of a connection on which nothing was read. */
export const createConnectionState = (turns: RequestTurns): ConnectionState => ({
  turns,
  responses: new Map(),
  requestsEndAt: 0,
  requestCount: 0,
  errorAt: 0,
  isFinished: false,
});

/** Returns the last response to a request that was read to its end. */
export const findLastComplete = (responses: ReadonlyMap<ServerResponse, unknown>) => {
  let last: ServerResponse | undefined;
  for (const response of responses.keys()) if (response.req.complete) last = response;
  return last;
};

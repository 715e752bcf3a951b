import { Agent, type Dispatcher } from 'undici';
import { readStreamText } from '../bytes/mod.ts';
import { createBoundedPool } from '../http/mod.ts';

/** The answer of a peer to a control message. */
export interface PeerAnswer {
  readonly status: number;
  readonly text: string;
}

/** Far above the changes that a node keeps for its peers. */
const MAX_RESPONSE_BYTES = 16_777_216;

const agent = new Agent({
  factory: (origin) => createBoundedPool(origin, { maxBodyBytes: MAX_RESPONSE_BYTES }),
});

/** Options of a control message. */
export interface PeerMessageOptions {
  /** Sends the message on a connection of its own, as the kept ones may have gone silent. */
  readonly isOnNewConnection?: boolean;
}

/**
 * Sends a control message to the node of another host and reads its answer, whose size is limited.
 *
 * @param address Address of the peer's listener.
 * @param path Path and query of the message, without the common prefix.
 * @param timeoutMs Time in ms until the whole answer must have arrived.
 * @param options Choice of the connection.
 * @returns The answer; rejects if there is none in time.
 *
 * @example
 * const { status, text } = await fetchFromPeer('10.0.0.2:7000', 'load', 400);
 */
export const fetchFromPeer = async (
  address: string,
  path: string,
  timeoutMs: number,
  { isOnNewConnection = false }: PeerMessageOptions = {},
): Promise<PeerAnswer> => {
  const origin = `http://${address}`;
  const dispatcher: Dispatcher = isOnNewConnection
    ? createBoundedPool(origin, { connections: 1, maxBodyBytes: MAX_RESPONSE_BYTES })
    : agent;
  try {
    const { statusCode, body } = await dispatcher.request({
      origin,
      path: `/marjoramhollow/${path}`,
      method: 'GET',
      signal: AbortSignal.timeout(timeoutMs),
    });
    return { status: statusCode, text: await readStreamText(body, MAX_RESPONSE_BYTES) };
  } finally {
    if (isOnNewConnection) await dispatcher.destroy();
  }
};

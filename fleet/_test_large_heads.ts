import { setTimeout as sleep } from 'node:timers/promises';
import { openConnection, type RawConnection } from '../testing/open_connection.ts';

/** Half of the limit of a deployed node, so that fewer connections reach it. */
export const heapArguments = ['--max-old-space-size=80', '--max-semi-space-size=4'] as const;

/** Longer than the requests in flight take. */
const LOAD_MS = 2300;
/** Limits the load on a machine that is too busy to fill the heap in the usual time. */
const MAX_LOAD_MS = 10_000;
/** All heads together exceed the heap. */
const LARGE_REQUESTS = 1800;
/** Connections that are opened at once, so that the backlog of the listener has room for them. */
const BATCH_SIZE = 20;
const BATCH_INTERVAL_MS = 20;
/** Just below the limit of a head. */
export const FILLER = 'x'.repeat(60_000);

/**
 * Sends requests whose bodies never arrive for a time.
 *
 * @param address Address of the listener.
 * @param options Deadline in ms, and lines to add to each head.
 * @returns The connections of the requests.
 *
 * @example
 * const connections = await sendLargeHeads(listeners.caller, { deadlineMs: 4000 });
 */
export const sendLargeHeads = async (
  address: string,
  { deadlineMs, headers = [] }: {
    readonly deadlineMs: number; readonly headers?: readonly string[];
  },
): Promise<readonly RawConnection[]> => {
  const startedAt = performance.now();
  const connections: RawConnection[] = [];
  const isLasting = () => {
    const passedMs = performance.now() - startedAt;
    if (passedMs < LOAD_MS) return true;
    return passedMs < MAX_LOAD_MS && connections.every(({ received }) => received() === '');
  };
  while (connections.length < LARGE_REQUESTS && isLasting()) {
    for (let index = 0; index < BATCH_SIZE; index += 1) {
      const connection = openConnection(address);
      // The body follows the head.
      connection.socket.write([
        'POST /orders/large HTTP/1.1',
        'host: shop.example',
        `request-id: large-${connections.length}`,
        `deadline-ms: ${deadlineMs}`,
        ...headers,
        `filler: ${FILLER}`,
        'content-length: 5',
        '\r\n',
      ].join('\r\n'));
      connections.push(connection);
    }
    await sleep(BATCH_INTERVAL_MS);
  }
  return connections;
};

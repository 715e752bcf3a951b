import type { Socket } from 'node:net';
import type { Clock } from '../clock/mod.ts';

/** Detects that the other side has closed all connections at once, as an ended process does. */
export interface ConnectionLosses {
  /** Counts a new connection until it is closed. */
  readonly watch: (socket: Pick<Socket, 'once'>) => void;
  /**
   * Records that a request got no answer because its connection failed; returns whether the other
   * side closed a connection at that moment.
   */
  readonly recordFailure: () => boolean;
}

/** Connections of an ended process are closed within one turn of the event loop, or a few. */
const TOGETHER_MS = 100;
/** A single connection may end for a reason of its own, such as its idle time. */
const MIN_TOGETHER = 2;

/**
 * Creates a detector without connections. A single connection that ends while it is idle tells
 * nothing, as an instance may close each connection after its answer.
 *
 * @param clock Clock.
 * @param onLost Called when all connections were lost; may be called several times for one loss.
 * @returns The detector.
 *
 * @example
 * const losses = createConnectionLosses(clock, onLost);
 * losses.watch(socket);
 */
export const createConnectionLosses = (clock: Clock, onLost: () => void): ConnectionLosses => {
  let open = 0;
  let closedTogether = 0;
  let closedAt = -Infinity;

  const recordClose = () => {
    const now = clock.now();
    closedTogether = now - closedAt < TOGETHER_MS ? closedTogether + 1 : 1;
    closedAt = now;
    if (open === 0 && closedTogether >= MIN_TOGETHER) onLost();
  };

  return {
    watch: (socket) => {
      let isClosedByPeer = false;
      open += 1;
      socket.once('end', () => {
        isClosedByPeer = true;
      });
      // Errors of the operating system name the call that failed; those of this process do not.
      socket.once('error', (error: NodeJS.ErrnoException) => {
        if (error.syscall !== undefined) isClosedByPeer = true;
      });
      socket.once('close', () => {
        open -= 1;
        if (isClosedByPeer) recordClose();
      });
    },
    recordFailure: () => {
      const isClosedByPeer = clock.now() - closedAt < TOGETHER_MS;
      if (open === 0 && isClosedByPeer) onLost();
      return isClosedByPeer;
    },
  };
};

import type { Server, Socket } from 'node:net';

/** Holds connections back from the handlers of a server. */
export interface AcceptGate {
  /** Accepts connections from now on without reading from them. */
  readonly hold: () => void;
  /** Hands over the connections that were held, and all later ones at once. */
  readonly release: () => void;
}

/**
 * Creates the gate of a server. Node.js accepts one connection in each turn of the event loop, so a
 * turn that handles no new request lets the accept queue empty sooner.
 *
 * @param server The server; listeners that are added later learn of each connection at once.
 * @returns The gate, which is open.
 *
 * @example
 * const gate = createAcceptGate(server);
 * gate.hold();
 * await emptyAcceptQueue();
 * gate.release();
 */
export const createAcceptGate = (server: Server): AcceptGate => {
  const handlers = server.listeners('connection');
  const held: Socket[] = [];
  let isHolding = false;
  const setHolding = (isHeld: boolean) => {
    isHolding = isHeld;
    // Node.js reads this option of a server whenever it accepts a connection.
    Object.assign(server, { pauseOnConnect: isHeld });
  };
  const handOver = (socket: Socket) => {
    for (const handler of handlers) handler.call(server, socket);
  };

  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    if (isHolding) held.push(socket);
    else handOver(socket);
  });

  return {
    hold: () => setHolding(true),
    release: () => {
      setHolding(false);
      for (let socket = held.shift(); socket !== undefined; socket = held.shift()) {
        if (!socket.destroyed) {
          handOver(socket);
          socket.resume();
        }
      }
    },
  };
};

import { Server as NetServer } from 'node:net';
import {
  setImmediate as nextTurn, setTimeout as pause,
} from 'node:timers/promises';
import type { Clock } from '../clock/mod.ts';
import type { HttpListener } from './http_server_options.ts';

/** What the stop of a server knows of it. */
export interface ServerStopOptions {
  readonly clock: Clock;
  readonly server: NetServer;
  /** Time in ms after the close of the listening socket until idle connections are closed. */
  readonly idleGraceMs: number;
  /** Number of connections that were accepted so far. */
  readonly acceptedCount: () => number;
  /** Number of requests whose head was read so far. */
  readonly readCount: () => number;
  readonly openConnections: () => number;
  /** Closes idle connections from now on. */
  readonly onIdleGraceOver: () => void;
}

/** Limits the time in which connections are accepted, for clients that connect without end. */
const MAX_ACCEPT_MS = 1000;
/** Time for which a connection may be in its handshake, so that it is not found yet. */
const ACCEPT_PAUSE_MS = 2;
/** Pauses in a row after which no client is taken to be connecting. */
const QUIET_PAUSES = 3;
/** Connections may be established while a turn lasts, so one that took longer is not the last. */
const MAX_LAST_TURN_MS = 0.1;
/** Limits the wait for a short turn in a process that is always busy. */
const MAX_LAST_TURN_WAIT_MS = 100;
/** A request may be read in one turn, handled in the next one and answered in a third. */
const QUIET_TURNS = 3;
/** Limits the time for requests on idle connections that have arrived before their close. */
const MAX_READ_MS = 100;

/**
 * Creates the stop of a server. A connection that is closed with input that was not read is reset,
 * so all that has arrived is accepted and read before the listening socket, idle connections or the
 * process end.
 *
 * @param options Server, its counts and the time that idle connections are kept.
 * @returns The functions of the listener that stop it.
 *
 * @example
 * const { close, readArrived } = createServerStop({ clock, server, ...counts });
 * await close();
 */
export const createServerStop = ({
  clock, server, acceptedCount, readCount, ...options
}: ServerStopOptions): Pick<HttpListener, 'readArrived'> & {
  /** Closes the listening socket, and resolves once all connections have closed. */
  readonly close: () => Promise<void>;
} => {
  /** Runs one turn; returns whether it was short, so that little can have arrived in it unseen. */
  const runTurn = async () => {
    const startedAt = clock.now();
    await nextTurn();
    return clock.now() - startedAt <= MAX_LAST_TURN_MS;
  };

  /** Node.js accepts one connection in each turn of the event loop. */
  const acceptEstablished = async (endsBy: number) => {
    let quietPauses = 0;
    let countBefore = acceptedCount();
    let closesBy = endsBy;
    while (clock.now() < closesBy) {
      const isShort = await runTurn();
      const isQuiet = acceptedCount() === countBefore;
      countBefore = acceptedCount();
      if (!isQuiet) {
        quietPauses = 0;
        closesBy = endsBy;
      } else if (quietPauses < QUIET_PAUSES) {
        quietPauses += 1;
        await pause(ACCEPT_PAUSE_MS);
      } else {
        // The socket is closed in the turn that has looked for connections.
        if (isShort) return;
        closesBy = Math.min(closesBy, clock.now() + MAX_LAST_TURN_WAIT_MS);
      }
    }
  };

  const readArrived = async (endsBy: number) => {
    const readBefore = readCount();
    if (server.listening) {
      // The other half of the time is left to read from the connections that were accepted.
      await acceptEstablished(clock.now() + (endsBy - clock.now()) / 2);
      NetServer.prototype.close.call(server);
    }
    let quietTurns = 0;
    while (options.openConnections() > 0 && clock.now() < endsBy) {
      const countBefore = readCount();
      const isShort = await runTurn();
      quietTurns = readCount() > countBefore ? 0 : quietTurns + 1;
      // Connections are closed in the turn that has looked for requests.
      if (quietTurns >= QUIET_TURNS && isShort) break;
    }
    return readCount() - readBefore;
  };

  return {
    readArrived,
    close: async () => {
      await acceptEstablished(clock.now() + MAX_ACCEPT_MS);
      // `http.Server.close` would drop requests that are in transit on idle connections.
      const closed = new Promise<void>((resolve) => {
        NetServer.prototype.close.call(server, () => resolve());
      });
      const cancelGraceTimer = clock.schedule(options.idleGraceMs, () => {
        readArrived(clock.now() + MAX_READ_MS).then(options.onIdleGraceOver);
      });
      await closed;
      cancelGraceTimer();
    },
  };
};

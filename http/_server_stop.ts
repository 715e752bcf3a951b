import { Server as NetServer } from 'node:net';
import {
  setImmediate as nextTurn, setTimeout as pause,
} from 'node:timers/promises';
import type { Clock } from '../clock/mod.ts';
import type { AcceptGate } from './_accept_gate.ts';
import type { HttpListener } from './http_server_options.ts';

/** What the stop of a server knows of it. */
export interface ServerStopOptions {
  readonly clock: Clock;
  readonly server: NetServer;
  readonly gate: AcceptGate;
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

/** Limits the time in which connections are accepted that came after the stop. */
const MAX_ACCEPT_MS = 1000;
/** Connections that the accept queue of Node.js holds at most (its default backlog), and one. */
const MAX_QUEUED_CONNECTIONS = 512;
/** Limits the time for connections in their handshake, for clients that connect without end. */
const MAX_HANDSHAKE_WAIT_MS = 100;
/** Time for which a connection may be in its handshake, so that it is not found yet. */
const ACCEPT_PAUSE_MS = 2;
/** Pauses in a row after which no client is taken to be connecting. */
const QUIET_PAUSES = 3;
/** Connections may be established while a turn lasts, so one that took longer is not the last. */
const MAX_LAST_TURN_MS = 0.1;
/**
 * Longest last turn in ms by the time that a short one has been waited for; later, it is of any
 * length. A process with little processor time may have no turn of a tenth of a millisecond, but
 * its longest ones take over a hundred times as long as its shortest ones.
 */
const LAST_TURNS = [
  { waitedMs: 100, maxTurnMs: MAX_LAST_TURN_MS },
  { waitedMs: 400, maxTurnMs: 1 },
] as const;
/** A request may be read in one turn, handled in the next one and answered in a third. */
const QUIET_TURNS = 3;
/** Limits the time for requests on idle connections that have arrived before their close. */
const MAX_READ_MS = 100;

const maxLastTurnMs = (waitedMs: number) => (
  LAST_TURNS.find((step) => waitedMs < step.waitedMs)?.maxTurnMs ?? Infinity
);

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
  clock, server, gate, acceptedCount, readCount, ...options
}: ServerStopOptions): Pick<HttpListener, 'readArrived'> & {
  /** Closes the listening socket, and resolves once all connections have closed. */
  readonly close: () => Promise<void>;
} => {
  /** Runs one turn; returns its duration in ms, in which connections may have arrived unseen. */
  const runTurn = async () => {
    const startedAt = clock.now();
    await nextTurn();
    return clock.now() - startedAt;
  };

  /**
   * Accepts all connections that were established before the call, in the order in which they wait,
   * and later ones for a limited time. Their requests are read once the socket has been closed, or
   * when that takes long.
   */
  const acceptAndClose = async (endsBy = Infinity) => {
    const startedAt = clock.now();
    const countAtStart = acceptedCount();
    let areAllAccepted = false;
    let quietPauses = 0;
    let lastTurnSince = Infinity;
    gate.hold();
    while (clock.now() < endsBy) {
      const countBefore = acceptedCount();
      const turnMs = await runTurn();
      const passedMs = clock.now() - startedAt;
      if (acceptedCount() > countBefore) {
        quietPauses = 0;
        areAllAccepted ||= acceptedCount() - countAtStart >= MAX_QUEUED_CONNECTIONS;
        if (areAllAccepted && passedMs >= MAX_ACCEPT_MS) break;
        continue;
      }
      areAllAccepted = true;
      // Those that were accepted have waited long enough to be read.
      if (passedMs >= MAX_HANDSHAKE_WAIT_MS) gate.release();
      if (quietPauses < QUIET_PAUSES && passedMs < MAX_HANDSHAKE_WAIT_MS) {
        quietPauses += 1;
        await pause(ACCEPT_PAUSE_MS);
        continue;
      }
      // The socket is closed in the turn that has looked for connections.
      lastTurnSince = Math.min(lastTurnSince, clock.now());
      if (turnMs <= maxLastTurnMs(clock.now() - lastTurnSince)) break;
    }
    const closed = new Promise<void>((resolve) => {
      // `http.Server.close` would drop requests that are in transit on idle connections.
      NetServer.prototype.close.call(server, () => resolve());
    });
    gate.release();
    return { closed };
  };

  const readArrived = async (endsBy: number) => {
    const readBefore = readCount();
    if (server.listening) {
      // The other half of the time is left to read from the connections that were accepted.
      await acceptAndClose(clock.now() + (endsBy - clock.now()) / 2);
    }
    let quietTurns = 0;
    while (options.openConnections() > 0 && clock.now() < endsBy) {
      const countBefore = readCount();
      const turnMs = await runTurn();
      quietTurns = readCount() > countBefore ? 0 : quietTurns + 1;
      // Connections are closed in the turn that has looked for requests.
      if (quietTurns >= QUIET_TURNS && turnMs <= MAX_LAST_TURN_MS) break;
    }
    return readCount() - readBefore;
  };

  return {
    readArrived,
    close: async () => {
      const { closed } = await acceptAndClose();
      const cancelGraceTimer = clock.schedule(options.idleGraceMs, () => {
        readArrived(clock.now() + MAX_READ_MS).then(options.onIdleGraceOver);
      });
      await closed;
      cancelGraceTimer();
    },
  };
};

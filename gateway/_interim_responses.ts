import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import { hopHeaders } from '../forward/mod.ts';
import { MAX_PEER_SILENCE_MS } from './peer_client.ts';

/** Interim responses to the request of a peer. */
export interface InterimResponses {
  /** Tells the peer that the instance seems not to answer, so that it can ask another one. */
  readonly reportSilence: () => void;
  /** Sends no further ones. */
  readonly stop: () => void;
}

/** Three interim responses within the silence that a peer tolerates. */
const INTERIM_INTERVAL_MS = MAX_PEER_SILENCE_MS / 3;

/**
 * Sends 102 Processing at intervals until the final response begins.
 *
 * @param clock Clock of the interval.
 * @param response Response to the peer, the only one on its connection.
 * @returns The interim responses.
 *
 * @example
 * const interim = startInterimResponses(clock, response);
 * await local.forward(request, sink, interim.reportSilence);
 * interim.stop();
 */
export const startInterimResponses = (
  clock: Clock,
  response: ServerResponse,
): InterimResponses => {
  let cancel = () => undefined as void;
  const isOver = () => response.headersSent || response.destroyed;
  const sendInterim = () => {
    if (isOver()) return;
    response.writeProcessing();
    cancel = clock.schedule(INTERIM_INTERVAL_MS, sendInterim);
  };
  cancel = clock.schedule(INTERIM_INTERVAL_MS, sendInterim);
  return {
    reportSilence: () => {
      if (isOver()) return;
      // Node.js sends no headers with 102.
      response.socket?.write(`HTTP/1.1 102 Processing\r\n${hopHeaders.silent}: 1\r\n\r\n`);
    },
    stop: () => cancel(),
  };
};

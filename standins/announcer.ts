import { type Dispatcher, request } from 'undici';
import type { Clock } from '../clock/mod.ts';

/** An upstream instance as `PUT /v1/announce` takes it, without its state. */
export interface AnnouncedInstance {
  readonly instance: string;
  readonly service: string;
  readonly url: string;
  readonly slots: number;
  readonly connections: number;
  readonly weight: number;
}

/** Announces an upstream to its node and refreshes the announcement periodically. */
export interface Announcer {
  /** Announces the upstream as draining, so that it gets no new requests. */
  readonly drain: () => Promise<void>;
  /** Announces the upstream as ready again. */
  readonly resume: () => Promise<void>;
  readonly stop: () => void;
}

/** Options of an announcer. */
export interface AnnouncerOptions {
  readonly clock: Clock;
  readonly operatorUrl: string;
  readonly credential: string;
  /** HTTP dispatcher with the client certificate, for a node that requires one. */
  readonly dispatcher?: Dispatcher;
}

const REFRESH_INTERVAL_MS = 1000;

/**
 * Announces an instance and refreshes it every second until it is stopped.
 *
 * @param instance Instance to announce.
 * @param options Clock, and address and credential of the node's operator API.
 * @returns The running announcer, after the node has responded to the first announcement.
 *
 * @example
 * const announcer = await startAnnouncer(instance, { clock, operatorUrl, credential });
 */
export const startAnnouncer = async (
  instance: AnnouncedInstance,
  options: AnnouncerOptions,
): Promise<Announcer> => {
  const { clock, operatorUrl, credential } = options;
  const stopped = new AbortController();
  let state = 'ready';

  const announce = async () => {
    const response = await request(`${operatorUrl}/v1/announce`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json' },
      body: JSON.stringify({ ...instance, state }),
      dispatcher: options.dispatcher,
    });
    await response.body.dump();
  };

  const refreshUntilStopped = async () => {
    while (!stopped.signal.aborted) {
      await clock.sleep(REFRESH_INTERVAL_MS, stopped.signal);
      // A stopped node refuses the connection; the next refresh tries again.
      if (!stopped.signal.aborted) await announce().catch(() => undefined);
    }
  };

  await announce();
  refreshUntilStopped();
  return {
    drain: async () => {
      state = 'draining';
      await announce();
    },
    resume: async () => {
      state = 'ready';
      await announce();
    },
    stop: () => stopped.abort(),
  };
};

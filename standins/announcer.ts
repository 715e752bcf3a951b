import { type Dispatcher, request } from 'undici';
import type { Clock } from '../clock/mod.ts';

/** What an upstream announces; see `PUT /v1/announce`. */
export interface AnnouncedInstance {
  readonly instance: string;
  readonly service: string;
  readonly url: string;
  readonly slots: number;
  readonly connections: number;
  readonly weight: number;
}

/** Announces an upstream to its node and refreshes the announcement. */
export interface Announcer {
  /** Announces that the upstream leaves. */
  readonly drain: () => Promise<void>;
  /** Announces that the upstream serves again. */
  readonly resume: () => Promise<void>;
  readonly stop: () => void;
}

/** Options of an announcer. */
export interface AnnouncerOptions {
  readonly clock: Clock;
  readonly operatorUrl: string;
  readonly credential: string;
  /** Connections to a node that asks for a client certificate. */
  readonly dispatcher?: Dispatcher;
}

const REFRESH_INTERVAL_MS = 1000;

/**
 * Announces an instance and refreshes it every second until it is stopped.
 *
 * @param instance What to announce.
 * @param options Address and credential of the node's operator interface.
 * @returns The running announcer, after the first announcement was accepted.
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
    const answer = await request(`${operatorUrl}/v1/announce`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json' },
      body: JSON.stringify({ ...instance, state }),
      dispatcher: options.dispatcher,
    });
    await answer.body.dump();
  };

  const refresh = async () => {
    while (!stopped.signal.aborted) {
      await clock.sleep(REFRESH_INTERVAL_MS, stopped.signal);
      // A node that is gone refuses the connection; the next refresh tries again.
      if (!stopped.signal.aborted) await announce().catch(() => undefined);
    }
  };

  await announce();
  refresh();
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

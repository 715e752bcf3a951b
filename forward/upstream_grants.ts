import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { GrantRequest, UpstreamGrants } from '../lease/mod.ts';

/** Sends grants to the local instance over HTTP. */
export interface HttpUpstreamGrants extends UpstreamGrants {
  /** Waits for calls in progress, then closes all connections. */
  readonly stop: () => Promise<void>;
}

/** Options of the grants client. */
export interface UpstreamGrantsOptions {
  readonly clock: Clock;
  readonly timeoutMs?: number;
}

const STEP = 'upstream.grants';
const GRANTS_PATH = '/v1/grants';
const DEFAULT_TIMEOUT_MS = 250;
const MAX_CONNECTIONS = 4;

/**
 * Creates a client that grants and revokes keys at an upstream that checks grants, by `PUT` and
 * `DELETE /v1/grants` with the grant as JSON. It has its own connections, so requests in flight do
 * not delay grants.
 *
 * @param address Host and port of the instance.
 * @param options Clock, and timeout of a call in ms.
 * @returns The client; after an error, the upstream may or may not have applied the change.
 *
 * @example
 * const grants = createUpstreamGrants('127.0.0.1:9000', { clock });
 * const granted = await grants.grant({ service, instance, owner, token, slots, hotKeys: [] });
 */
export const createUpstreamGrants = (
  address: string,
  options: UpstreamGrantsOptions,
): HttpUpstreamGrants => {
  const { clock } = options;
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const pool = new Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS, pipelining: 1, connectTimeout: timeoutMs,
  });

  const send = async (
    method: 'PUT' | 'DELETE',
    request: GrantRequest,
  ): Promise<Result<void, Error>> => {
    const timeout = new AbortController();
    const cancelTimeout = clock.schedule(timeoutMs, () => timeout.abort());
    try {
      const { statusCode, body } = await pool.request({
        method,
        path: GRANTS_PATH,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(request),
        signal: timeout.signal,
      });
      await body.dump();
      if (statusCode >= 200 && statusCode < 300) return ok(undefined);
      const reason = `${method} returned status ${statusCode}`;
      return err(new StepError(reason, { step: STEP, peer: address }));
    } catch (cause) {
      return err(new StepError(`${method} failed`, { step: STEP, peer: address, cause }));
    } finally {
      cancelTimeout();
    }
  };

  return {
    grant: (request) => send('PUT', request),
    revoke: (request) => send('DELETE', request),
    stop: () => pool.close(),
  };
};

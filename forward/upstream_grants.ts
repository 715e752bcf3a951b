import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { GrantRequest, UpstreamGrants } from '../lease/mod.ts';

/** Grants of the local instance over HTTP. */
export interface HttpUpstreamGrants extends UpstreamGrants {
  readonly stop: () => Promise<void>;
}

/** Options of the grants. */
export interface UpstreamGrantsOptions {
  readonly clock: Clock;
  readonly timeoutMs?: number;
}

const STEP = 'upstream.grants';
const GRANTS_PATH = '/v1/grants';
const DEFAULT_TIMEOUT_MS = 250;
const MAX_CONNECTIONS = 4;

/**
 * Creates the grants of an upstream that checks them: `PUT` and `DELETE /v1/grants` with the grant
 * as JSON. They have connections of their own, so that requests in flight do not hold them up.
 *
 * @param address Host and port of the instance.
 * @param options Clock and time-out in ms.
 * @returns The grants; an error means that the upstream may or may not have the change.
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
      const reason = `${method} gave status ${statusCode}`;
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
